/**
 * The command line: options are parsed here and delegated to the library.
 */
@NullMarked
package org.jaywood.cli;

import org.jspecify.annotations.NullMarked;
