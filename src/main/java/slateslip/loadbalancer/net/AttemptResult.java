package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * The result of an attempt or a probe. {@code load} is empty if the response has no load report.
 * {@code served} is null unless the status is 200. {@code rejection} is the client error status
 * that is passed on to the client, or null.
 */
record AttemptResult(
    Outcome outcome, double[] load, ServedResponse served, HttpResponseStatus rejection) {}
