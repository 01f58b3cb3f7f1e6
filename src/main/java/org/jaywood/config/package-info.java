/**
 * Parsing, validation, storage and in-process distribution of the deployment document.
 */
@NullMarked
package org.jaywood.config;

import org.jspecify.annotations.NullMarked;
