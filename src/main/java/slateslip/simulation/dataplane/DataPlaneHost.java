package slateslip.simulation.dataplane;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import slateslip.distribution.QuotaReport;
import slateslip.routing.RequestRouter;
import slateslip.routing.RouterInput;
import slateslip.routing.RouterInput.AttemptOutcome;
import slateslip.routing.RouterInput.AttemptOutcome.Kind;
import slateslip.routing.RouterInput.BackendLoad;
import slateslip.routing.RouterOutput;
import slateslip.simulation.EventQueue;
import slateslip.simulation.dataplane.Violation.Rule;

/** Simulates the sockets of one data plane and performs the outputs of its router. */
@SuppressWarnings("ReferenceEquality") // attempts and calls are compared by identity
final class DataPlaneHost {
  /** Time limits are not checked for this long after a start, stop, freeze or thaw. */
  private static final long SUSPENSION_MICROS = 3_000_000;

  /** Time beyond the timeout for which a data plane may hold a request. */
  private static final long HELD_SLACK_MICROS = 250_000;

  /** The state of the data plane process and its reachability. */
  enum Condition {
    UP,
    FROZEN,
    DOWN,
    DARK
  }

  private final DataPlaneWorld world;
  private final EventQueue loop;
  private final int index;
  private final int zone;
  private final Map<Long, Exchange> exchanges = new TreeMap<>();
  private final Deque<Runnable> pausedInbound = new ArrayDeque<>();
  private final Deque<RouterInput> pendingInputs = new ArrayDeque<>();
  private final SimulatedProbes probes;
  private final IdleTimers idleTimers;
  private final ResponseChecks responseChecks;
  private RequestRouter router;
  private Condition condition = Condition.DOWN;
  private int incarnation;
  private long nextRequest;
  private long lastDisturbanceMicros = -SUSPENSION_MICROS;
  private boolean feeding;

  DataPlaneHost(DataPlaneWorld world, int index, int zone) {
    this.world = world;
    this.loop = world.loop();
    this.index = index;
    this.zone = zone;
    this.probes = new SimulatedProbes(world, this);
    this.idleTimers = new IdleTimers(loop, this);
    this.responseChecks = new ResponseChecks(world);
  }

  int index() {
    return index;
  }

  int zone() {
    return zone;
  }

  Condition condition() {
    return condition;
  }

  int openExchanges() {
    return exchanges.size();
  }

  /** Returns whether rules with a time limit are suspended after a recent fault. */
  boolean rulesSuspended() {
    return loop.nowMicros() - lastDisturbanceMicros < SUSPENSION_MICROS;
  }

  /** Returns the number of the current run of the process, counted from 1. */
  int incarnation() {
    return incarnation;
  }

  /** Returns the router's report on the quotas of the tenants since the process started. */
  QuotaReport quotaReport() {
    return router.quotaReport(loop.nowMicros());
  }

  void start(RequestRouter newRouter) {
    router = newRouter;
    condition = Condition.UP;
    incarnation++;
    lastDisturbanceMicros = loop.nowMicros();
  }

  void stop(boolean dark) {
    lastDisturbanceMicros = loop.nowMicros();
    condition = dark ? Condition.DARK : Condition.DOWN;
    for (Exchange exchange : exchanges.values()) {
      if (!dark && !exchange.finished) {
        toClient(() -> exchange.content.client().connectionBroken(exchange.content));
      }
      for (BackendCall call : exchange.activeCalls.values()) {
        call.close();
        if (!dark) {
          world.network().hostClosed(call, world.control().backend(call.backendId()));
        }
      }
    }
    exchanges.clear();
    pausedInbound.clear();
    pendingInputs.clear();
  }

  void freeze() {
    condition = Condition.FROZEN;
    lastDisturbanceMicros = loop.nowMicros();
  }

  void thaw() {
    lastDisturbanceMicros = loop.nowMicros();
    condition = Condition.UP;
    while (!pausedInbound.isEmpty()) {
      pausedInbound.poll().run();
    }
  }

  /** Receives the complete request of a client. */
  void accept(ClientAttempt content) {
    inbound(() -> read(content));
  }

  /** Handles a connection that the client has closed. */
  void clientGone(ClientAttempt content) {
    inbound(
        () -> {
          for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (exchange.content == content && !exchange.finished) {
              exchange.finished = true;
              feed(new RouterInput.ClientDisconnected(exchange.id));
              removeIfDone(exchange);
            }
          }
        });
  }

  /** Handles a reply on the connection of a call. */
  void replied(BackendCall call, BackendReply reply, BackendLoad load) {
    inbound(
        () -> {
          Exchange exchange = exchanges.get(call.request());
          if (exchange != null && exchange.activeCalls.get(call.attempt()) == call) {
            handle(exchange, call, reply, load);
          }
        });
  }

  /** Passes an input to the router; a frozen process delays the input, a stopped one drops it. */
  void deliver(RouterInput input) {
    inbound(() -> feed(input));
  }

  /** Runs an external action; a frozen process delays the action, a stopped one drops it. */
  void inbound(Runnable action) {
    switch (condition) {
      case UP -> action.run();
      case FROZEN -> pausedInbound.add(action);
      default -> {
        // the process is stopped and the input is lost
      }
    }
  }

  private void read(ClientAttempt content) {
    Exchange exchange = new Exchange(nextRequest++, content, loop.nowMicros());
    exchanges.put(exchange.id, exchange);
    long holdMillis =
        Math.min(content.requestClass().timeoutMillis(), content.attributes().deadlineMillis());
    loop.after(holdMillis * 1_000 + HELD_SLACK_MICROS, () -> checkHoldTime(exchange));
    feed(new RouterInput.RequestArrived(exchange.id, content.attributes()));
  }

  private void checkHoldTime(Exchange exchange) {
    boolean stillOpen = exchanges.get(exchange.id) == exchange && !exchange.finished;
    if (stillOpen && condition == Condition.UP && lastDisturbanceMicros < exchange.acceptedMicros) {
      world.checker().report(Rule.HELD, exchange.content.attemptId());
    }
  }

  private void handle(Exchange exchange, BackendCall call, BackendReply reply, BackendLoad load) {
    if (reply instanceof BackendReply.Event event) {
      relayEvent(exchange, call, event, load);
    } else if (reply instanceof BackendReply.Success) {
      responseStarted(exchange, call);
      exchange.finished = true;
      toClient(() -> exchange.content.client().responseCompleted(exchange.content));
      end(exchange, call, Kind.SUCCESS, 200, load);
    } else if (reply instanceof BackendReply.Failure failure) {
      exchange.failureStatuses.put(call.attempt(), failure.status());
      end(exchange, call, Kind.ERROR_RESPONSE, failure.status(), load);
    } else if (reply instanceof BackendReply.NotExecuted) {
      end(exchange, call, Kind.NOT_EXECUTED, 503, load);
    } else if (reply instanceof BackendReply.OtherInstance) {
      end(exchange, call, Kind.OTHER_INSTANCE, 421, load);
    } else if (reply instanceof BackendReply.NotConnected) {
      end(exchange, call, Kind.NOT_SENT, 0, load);
    } else {
      end(exchange, call, call.transmission().outcomeIfBroken(), 0, load);
    }
  }

  private void relayEvent(
      Exchange exchange, BackendCall call, BackendReply.Event event, BackendLoad load) {
    if (exchange.finished || !exchange.passesEventsOf(call)) {
      return;
    }
    exchange.streamingAttempt = call.attempt();
    responseStarted(exchange, call);
    exchange.lastEventId = event.id();
    idleTimers.eventReceived(exchange, call);
    exchange.finished = event.last();
    toClient(() -> exchange.content.client().event(exchange.content, event.id(), event.last()));
    if (event.last()) {
      end(exchange, call, Kind.SUCCESS, 200, load);
    }
  }

  private void responseStarted(Exchange exchange, BackendCall call) {
    if (exchange.startedAttempts.add(call.attempt()) || exchange.activeCalls.size() > 1) {
      feed(new RouterInput.AttemptStarted(exchange.id, call.attempt(), null));
    }
  }

  private void end(Exchange exchange, BackendCall call, Kind kind, int status, BackendLoad load) {
    call.close();
    if (exchange.lastClosedByDataPlane != call) {
      exchange.lastClosedByDataPlane = null; // the backend or the network ended the call
    }
    exchange.activeCalls.remove(call.attempt());
    feed(
        new RouterInput.AttemptEnded(
            exchange.id,
            call.attempt(),
            new AttemptOutcome(kind, status),
            load,
            exchange.lastEventId));
    removeIfDone(exchange);
  }

  private void removeIfDone(Exchange exchange) {
    if (exchange.finished && exchange.activeCalls.isEmpty()) {
      exchanges.remove(exchange.id);
    }
  }

  private void feed(RouterInput input) {
    pendingInputs.add(input);
    if (feeding) {
      return;
    }
    feeding = true;
    while (!pendingInputs.isEmpty()) {
      List<RouterOutput> outputs = router.handle(loop.nowMicros(), pendingInputs.poll());
      new ArrayList<>(outputs).forEach(this::perform);
    }
    feeding = false;
  }

  private void perform(RouterOutput output) {
    if (output instanceof RouterOutput.SendAttempt send) {
      send(send);
    } else if (output instanceof RouterOutput.Respond response) {
      respond(response);
    } else if (output instanceof RouterOutput.RelayError relay) {
      relay(relay);
    } else if (output instanceof RouterOutput.AbortConnection abort) {
      Exchange exchange = markFinished(abort.request());
      if (exchange != null) {
        responseChecks.aborted(exchange, abort.reason());
        toClient(() -> exchange.content.client().connectionBroken(exchange.content));
      }
    } else if (output instanceof RouterOutput.CancelAttempt cancel) {
      cancel(cancel);
    } else if (output instanceof RouterOutput.Probe probe) {
      probes.probe(probe.backendId());
    } else if (output instanceof RouterOutput.WakeAt wake) {
      int current = incarnation;
      loop.at(wake.atMicros(), () -> wake(current));
    }
  }

  private void wake(int ofIncarnation) {
    if (ofIncarnation == incarnation) {
      deliver(new RouterInput.Wake());
    }
  }

  private void send(RouterOutput.SendAttempt send) {
    Exchange exchange = exchanges.get(send.request());
    if (exchange == null || exchange.finished || !exchange.attemptNumbers.add(send.attempt())) {
      world
          .checker()
          .report(Rule.ATTEMPTS, "request " + send.request() + " had a late or duplicate attempt");
      return;
    }
    long deadlineMicros =
        send.deadlineMillis() == 0
            ? exchange.acceptedMicros + exchange.content.attributes().deadlineMillis() * 1_000
            : loop.nowMicros() + send.deadlineMillis() * 1_000;
    exchange.lastEventWhenSent.put(send.attempt(), exchange.lastEventId);
    BackendCall call =
        new BackendCall(
            this,
            exchange.content,
            send,
            exchange.resumeAfter(send),
            deadlineMicros,
            world.newTransmission());
    exchange.activeCalls.put(send.attempt(), call);
    exchange.idleTimeoutMicros.put(send.attempt(), send.idleTimeoutMicros());
    SimulatedBackend backend = world.control().backend(send.backendId());
    world.measurements().attemptSent(backend.zone() != zone);
    world.network().send(call, backend);
    if (send.firstEventTimeoutMicros() > 0) {
      loop.after(send.firstEventTimeoutMicros(), () -> inbound(() -> timeOutCall(exchange, call)));
    }
  }

  /** Closes the connection to a backend that may still execute the request. */
  private void closeCall(Exchange exchange, BackendCall call, Kind kind) {
    world.network().hostClosed(call, world.control().backend(call.backendId()));
    exchange.lastClosedByDataPlane = call;
    end(exchange, call, kind, 0, null);
  }

  private void timeOutCall(Exchange exchange, BackendCall call) {
    boolean silent = !exchange.startedAttempts.contains(call.attempt());
    if (exchange.activeCalls.get(call.attempt()) == call && silent) {
      closeCall(exchange, call, call.transmission().outcomeIfTimedOut());
    }
  }

  private void respond(RouterOutput.Respond response) {
    Exchange exchange = markFinished(response.request());
    if (exchange == null) {
      return;
    }
    responseChecks.responded(exchange, response.status());
    toClient(
        () ->
            exchange
                .content
                .client()
                .failureReceived(exchange.content, response.status(), response.retryAfterMicros()));
  }

  private void relay(RouterOutput.RelayError relay) {
    Exchange exchange = markFinished(relay.request());
    if (exchange == null) {
      return;
    }
    Integer status = exchange.failureStatuses.get(relay.attempt());
    if (status == null) {
      world.checker().report(Rule.ANSWERS, exchange.content.attemptId() + " relays unknown error");
      return;
    }
    toClient(() -> exchange.content.client().failureReceived(exchange.content, status, 0));
  }

  /** Marks a request as finished; reports a violation and returns null if already finished. */
  private Exchange markFinished(long request) {
    Exchange exchange = exchanges.get(request);
    if (exchange == null || exchange.finished) {
      world.checker().report(Rule.ANSWERS, "request " + request + " ended twice");
      return null;
    }
    exchange.finished = true;
    removeIfDone(exchange);
    return exchange;
  }

  private void cancel(RouterOutput.CancelAttempt cancel) {
    Exchange exchange = exchanges.get(cancel.request());
    BackendCall call = exchange == null ? null : exchange.activeCalls.get(cancel.attempt());
    if (call == null) {
      return;
    }
    closeCall(exchange, call, Kind.CANCELLED);
  }

  private void toClient(Runnable action) {
    loop.after(world.plan().network().client(), action);
  }
}
