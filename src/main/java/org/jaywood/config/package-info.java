/**
 * The deployment document: its parsing, its rules, how it is applied and how a process
 * holds it.
 */
@NullMarked
package org.jaywood.config;

import org.jspecify.annotations.NullMarked;
