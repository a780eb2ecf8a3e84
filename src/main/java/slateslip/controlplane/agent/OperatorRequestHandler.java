package slateslip.controlplane.agent;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import slateslip.configuration.ConfigurationDocument;
import slateslip.controlplane.state.ConfigurationState;
import slateslip.coordination.ClientResult;
import slateslip.coordination.NodeId;
import slateslip.distribution.peer.ControlPeerMessage;
import slateslip.distribution.peer.OperatorRequest;
import slateslip.distribution.peer.OperatorResponse;
import slateslip.protocol.peer.OperatorRequestCodec;
import slateslip.protocol.peer.OperatorResponseCodec;

/**
 * Handles requests of the operator. The primary processes requests itself; every other agent
 * forwards requests to the primary. Each request gets exactly one response. Confined to the event
 * loop.
 */
final class OperatorRequestHandler {
  private static final Logger LOG = Logger.getLogger(OperatorRequestHandler.class);

  /**
   * Limits how long the response to a forwarded request may take. The limit is below one second,
   * because callers try another agent after one second without a response.
   */
  private static final long FORWARD_TIMEOUT_MICROS = 900_000;

  private static final byte[] NO_BODY = new byte[0];

  private final Scheduler scheduler;
  private final ReplicaHost replica;
  private final ConfigurationState state;
  private final PeerLinks links;
  private final ConfigurationRollout rollout;
  private final Map<Long, PendingForward> pendingForwards = new HashMap<>();

  /**
   * Id of the last forwarded request. The first id is drawn at random, so that two incarnations of
   * an agent do not use the same id.
   */
  private long lastRequestId;

  /** A request that was forwarded to a peer and has no response yet. */
  private record PendingForward(String peer, Consumer<OperatorResponse> responseHandler) {}

  /** Waits until data planes of all agents have put a configuration into force. */
  interface ConfigurationRollout {
    /**
     * Calls {@code onComplete} once: with true when all data planes in reach have this version, or
     * with false when those that do not have it make no progress or take too long.
     */
    void await(long version, Consumer<Boolean> onComplete);
  }

  /**
   * Creates a handler without pending requests.
   *
   * @param incarnation incarnation of this process, drawn at random, from which request ids start:
   *     the response to a request that an earlier process forwarded must not be mistaken for the
   *     response to a request of this process
   */
  OperatorRequestHandler(
      long incarnation,
      Scheduler scheduler,
      ReplicaHost replica,
      ConfigurationState state,
      PeerLinks links,
      ConfigurationRollout rollout) {
    lastRequestId = incarnation;
    this.scheduler = scheduler;
    this.replica = replica;
    this.state = state;
    this.links = links;
    this.rollout = rollout;
  }

  /**
   * Handles a request that an operator sent to this agent; {@code responseHandler} is called
   * exactly once.
   */
  void handleRequest(OperatorRequest request, Consumer<OperatorResponse> responseHandler) {
    if (replica.isServing()) {
      handleAsPrimary(request, responseHandler);
      return;
    }
    NodeId primary = replica.role().primary();
    String peer = primary.address().toString();
    if (!links.isUsable(peer)) {
      responseHandler.accept(OperatorResponse.unavailable("no primary in reach"));
      return;
    }
    lastRequestId++;
    long requestId = lastRequestId;
    pendingForwards.put(requestId, new PendingForward(peer, responseHandler));
    links.transfer(peer, new ControlPeerMessage.ForwardedRequest(requestId, request));
    scheduler.schedule(FORWARD_TIMEOUT_MICROS, () -> timeOut(requestId));
  }

  private void timeOut(long requestId) {
    PendingForward pending = pendingForwards.remove(requestId);
    if (pending != null) {
      pending.responseHandler.accept(OperatorResponse.unavailable("no response from the primary"));
    }
  }

  /** Handles a request that a peer forwarded to this agent as the primary. */
  void forwardedRequestReceived(String peer, ControlPeerMessage.ForwardedRequest message) {
    Consumer<OperatorResponse> respond =
        response ->
            links.transfer(
                peer, new ControlPeerMessage.ForwardedResponse(message.requestId(), response));
    if (replica.isServing()) {
      handleAsPrimary(message.request(), respond);
    } else {
      respond.accept(OperatorResponse.unavailable("not the primary"));
    }
  }

  /**
   * Handles a peer's response to a forwarded request; the response is ignored if the request has
   * timed out or was forwarded to another peer.
   */
  void forwardedResponseReceived(String peer, ControlPeerMessage.ForwardedResponse message) {
    PendingForward pending = pendingForwards.get(message.requestId());
    if (pending != null && pending.peer.equals(peer)) {
      pendingForwards.remove(message.requestId());
      pending.responseHandler.accept(message.response());
    }
  }

  private void handleAsPrimary(
      OperatorRequest request, Consumer<OperatorResponse> responseHandler) {
    if (request.method() == OperatorRequest.Method.GET) {
      replica.confirm(
          result -> responseHandler.accept(readResponse(result, request.baseVersion())));
    } else {
      replica.propose(
          OperatorRequestCodec.encode(request), result -> changeCompleted(result, responseHandler));
    }
  }

  private OperatorResponse readResponse(ClientResult result, long knownVersion) {
    if (!(result instanceof ClientResult.Confirmed)) {
      return OperatorResponse.unavailable("the state may not be current");
    }
    Optional<ConfigurationDocument> document = state.document();
    if (knownVersion > 0 && document.isPresent() && document.get().version() == knownVersion) {
      return new OperatorResponse(OperatorResponse.OK, knownVersion, NO_BODY);
    }
    LOG.infof("configuration read: version=%d", state.version());
    return document
        .map(found -> new OperatorResponse(OperatorResponse.OK, found.version(), found.toJson()))
        .orElseGet(
            () -> OperatorResponse.of(OperatorResponse.NOT_FOUND, 0, "no configuration yet"));
  }

  private void changeCompleted(ClientResult result, Consumer<OperatorResponse> responseHandler) {
    if (result instanceof ClientResult.Committed) {
      acknowledge(state.version(), responseHandler);
    } else if (result instanceof ClientResult.Responded responded) {
      OperatorResponse response = OperatorResponseCodec.decode(responded.response());
      if (response.status() == OperatorResponse.OK) {
        acknowledge(response.version(), responseHandler);
      } else {
        responseHandler.accept(response);
      }
    } else {
      responseHandler.accept(
          OperatorResponse.unavailable("the change may or may not come into force"));
    }
  }

  /**
   * Acknowledges a committed change once all data planes in reach have put the version into force,
   * or once the rollout gives up on those that have not.
   */
  private void acknowledge(long version, Consumer<OperatorResponse> responseHandler) {
    byte[] body = ("{\"version\":" + version + "}").getBytes(StandardCharsets.UTF_8);
    rollout.await(
        version,
        inForce -> {
          LOG.infof("configuration acknowledged: version=%d in_force=%b", version, inForce);
          responseHandler.accept(new OperatorResponse(OperatorResponse.OK, version, body));
        });
  }
}
