package slateslip.dataplane.ingress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queue of the requests of one connection that were read and wait for the responses to earlier
 * requests.
 */
final class PipelinedRequests {
  /**
   * A queued request, or an error in place of a request.
   *
   * @param request request; null if the received data was not a valid request
   * @param error status of the error response if {@code request} is null; otherwise null
   * @param keepAlive whether the connection may stay open after the response
   */
  record ParsedRequest(ClientRequest request, HttpResponseStatus error, boolean keepAlive) {}

  private final Deque<ParsedRequest> queue = new ArrayDeque<>();

  void add(ParsedRequest parsed) {
    queue.add(parsed);
  }

  /** Removes and returns the next request, or returns null if the queue is empty. */
  ParsedRequest poll() {
    return queue.poll();
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  int size() {
    return queue.size();
  }

  /**
   * Refuses all queued requests, none of which has been executed, after a response that was
   * announced as the last on the connection.
   *
   * @param written completes when all earlier responses are written
   * @return future that completes when all refusals are written
   */
  ChannelFuture refuseAll(Channel channel, ChannelFuture written) {
    ChannelFuture end = written;
    while (!queue.isEmpty()) {
      ParsedRequest parsed = queue.poll();
      HttpResponseStatus status =
          parsed.error == null ? HttpResponseStatus.SERVICE_UNAVAILABLE : parsed.error;
      String attemptId = parsed.request == null ? "" : parsed.request.attributes().attemptId();
      end =
          channel.writeAndFlush(
              ClientExchange.localResponse(status, attemptId, ClientIngress.RETRY_AFTER_MICROS));
    }
    return end;
  }

  /** Drops all queued requests without a response, because their connection has ended. */
  void dropAll(IngressListener listener, DropReason reason) {
    for (ParsedRequest parsed : queue) {
      if (parsed.request != null) {
        listener.requestDropped(parsed.request, reason);
      }
    }
    queue.clear();
  }
}
