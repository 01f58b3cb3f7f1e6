package org.jaywood.routing;

/**
 * Size of a call as a gateway sees it at an engine.
 *
 * @param kind calls whose answers are about as long
 * @param promptTokens tokens of the prompt, 0 if unknown
 * @param answerEvents expected number of events of the answer
 */
record CallSize(AnswerLengths.Kind kind, int promptTokens, double answerEvents) {
}
