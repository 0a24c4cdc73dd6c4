// Package limiter bounds what callers that are not under our control occupy in a process: the
// bytes of request bodies, the connections of a listener, and the time that a body takes.
//
// It answers crowds of callers that announce large bodies and never end them, which otherwise
// hold their memory and their connections for as long as they like. Bodies and Conns decide what
// is closed, without I/O and clocks; Group applies them to the connections of an HTTP server.
package limiter
