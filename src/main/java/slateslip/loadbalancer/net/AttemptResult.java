package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.HttpResponseStatus;
import slateslip.loadbalancer.LoadBalancer.Outcome;

/**
 * How an attempt or probe ended; what was served, or the status that blames the request, else null.
 */
record AttemptResult(
    Outcome outcome, double[] load, ServedResponse served, HttpResponseStatus rejection) {}
