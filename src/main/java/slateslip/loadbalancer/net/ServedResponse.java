package slateslip.loadbalancer.net;

/** A served answer: the body and what tells how to read it. */
record ServedResponse(byte[] body, String contentType, String contentEncoding) {}
