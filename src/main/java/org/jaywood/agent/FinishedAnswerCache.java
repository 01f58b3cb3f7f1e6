package org.jaywood.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.jaywood.wire.Frame;

/**
 * Cache of finished answers of plain services, from which a router whose connection broke
 * can still get its answer with a fence. Bounded by count, age and bytes; the oldest
 * answers are evicted first.
 */
final class FinishedAnswerCache {

	private final int maxAnswers;

	private final long maxAgeMillis;

	private final long maxBytes;

	private final LinkedHashMap<Key, Answer> answers = new LinkedHashMap<>();

	private long bytes;

	FinishedAnswerCache(int maxAnswers, long maxAgeMillis, long maxBytes) {
		this.maxAnswers = maxAnswers;
		this.maxAgeMillis = maxAgeMillis;
		this.maxBytes = maxBytes;
	}

	/**
	 * Stores an answer unless it is larger than an eighth of the cache.
	 */
	synchronized void keep(String router, long attempt, Frame.Head head, byte[] body, long nowMillis) {
		if (body.length > this.maxBytes / 8) {
			return;
		}
		this.answers.put(new Key(router, attempt), new Answer(head, body, nowMillis));
		this.bytes += body.length;
		evict(nowMillis);
	}

	synchronized Optional<Answer> find(String router, long attempt, long nowMillis) {
		evict(nowMillis);
		return Optional.ofNullable(this.answers.get(new Key(router, attempt)));
	}

	synchronized long bytes() {
		return this.bytes;
	}

	synchronized int count() {
		return this.answers.size();
	}

	private void evict(long nowMillis) {
		Iterator<Map.Entry<Key, Answer>> oldest = this.answers.entrySet().iterator();
		while (oldest.hasNext()) {
			Answer answer = oldest.next().getValue();
			boolean expired = nowMillis - answer.storedAtMillis() > this.maxAgeMillis;
			if (!expired && this.answers.size() <= this.maxAnswers && this.bytes <= this.maxBytes) {
				return;
			}
			this.bytes -= answer.body().length;
			oldest.remove();
		}
	}

	private record Key(String router, long attempt) {
	}

	/**
	 * An answer and the time at which it was stored.
	 */
	record Answer(Frame.Head head, byte[] body, long storedAtMillis) {
	}

}
