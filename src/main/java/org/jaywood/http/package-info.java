/**
 * Blocking HTTP/1.1 connections on sockets that their owner may close at any moment. The
 * codec is that of HttpCore.
 */
@NullMarked
package org.jaywood.http;

import org.jspecify.annotations.NullMarked;
