/**
 * Blocking HTTP/1.1 connections on sockets that their owner may close at any time.
 * Messages are encoded and parsed by Apache HttpCore.
 */
@NullMarked
package org.jaywood.http;

import org.jspecify.annotations.NullMarked;
