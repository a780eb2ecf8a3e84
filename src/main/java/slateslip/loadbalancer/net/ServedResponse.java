package slateslip.loadbalancer.net;

/**
 * The body of a successful response with its content type and content encoding, each null if
 * absent.
 */
record ServedResponse(byte[] body, String contentType, String contentEncoding) {}
