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

/** Stands for the sockets of one data plane: feeds its router and carries out what it asks for. */
@SuppressWarnings("ReferenceEquality") // each attempt is an object of its own
final class DataPlaneHost {
  /** How long after trouble rules with a time bound do not hold. */
  private static final long CONTACT_MICROS = 3_000_000;

  /** How long a request may be held beyond its route's time-out. */
  private static final long HELD_SLACK_MICROS = 250_000;

  /** Whether the process runs. */
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
  private long troubledMicros = -CONTACT_MICROS;
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

  /** Whether rules with a time bound do not hold for it at present. */
  boolean recentlyTroubled() {
    return loop.nowMicros() - troubledMicros < CONTACT_MICROS;
  }

  /** Number of its present life. */
  int incarnation() {
    return incarnation;
  }

  /** How tenants' quotas stand in its present life. */
  QuotaReport quotaReport() {
    return router.quotaReport(loop.nowMicros());
  }

  void start(RequestRouter newRouter) {
    router = newRouter;
    condition = Condition.UP;
    incarnation++;
    troubledMicros = loop.nowMicros();
  }

  void stop(boolean dark) {
    troubledMicros = loop.nowMicros();
    condition = dark ? Condition.DARK : Condition.DOWN;
    for (Exchange exchange : exchanges.values()) {
      if (!dark && !exchange.over) {
        toClient(() -> exchange.content.client().broken(exchange.content));
      }
      for (BackendCall call : exchange.live.values()) {
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
    troubledMicros = loop.nowMicros();
  }

  void thaw() {
    troubledMicros = loop.nowMicros();
    condition = Condition.UP;
    while (!pausedInbound.isEmpty()) {
      pausedInbound.poll().run();
    }
  }

  /** A client's whole request has come. */
  void accept(ClientAttempt content) {
    inbound(() -> read(content));
  }

  /** A client has closed its connection. */
  void clientGone(ClientAttempt content) {
    inbound(
        () -> {
          for (Exchange exchange : List.copyOf(exchanges.values())) {
            if (exchange.content == content && !exchange.over) {
              exchange.over = true;
              feed(new RouterInput.ClientGone(exchange.id));
              forgetIfDone(exchange);
            }
          }
        });
  }

  /** Something has come back on the connection of a call. */
  void replied(BackendCall call, BackendReply reply, BackendLoad load) {
    inbound(
        () -> {
          Exchange exchange = exchanges.get(call.request());
          if (exchange != null && exchange.live.get(call.attempt()) == call) {
            handle(exchange, call, reply, load);
          }
        });
  }

  /** Hands an input to the router, when the process runs. */
  void tell(RouterInput input) {
    inbound(() -> feed(input));
  }

  /** Does something that has come from outside, when the process runs. */
  void inbound(Runnable action) {
    switch (condition) {
      case UP -> action.run();
      case FROZEN -> pausedInbound.add(action);
      default -> {
        // nobody is there
      }
    }
  }

  private void read(ClientAttempt content) {
    Exchange exchange = new Exchange(nextRequest++, content, loop.nowMicros());
    exchanges.put(exchange.id, exchange);
    long holdMillis =
        Math.min(content.requestClass().timeoutMillis(), content.attributes().deadlineMillis());
    loop.after(holdMillis * 1_000 + HELD_SLACK_MICROS, () -> checkPendingRequests(exchange));
    feed(new RouterInput.RequestArrived(exchange.id, content.attributes()));
  }

  private void checkPendingRequests(Exchange exchange) {
    boolean stillOpen = exchanges.get(exchange.id) == exchange && !exchange.over;
    if (stillOpen && condition == Condition.UP && troubledMicros < exchange.acceptedMicros) {
      world.checker().broken(Rule.HELD, exchange.content.attemptId());
    }
  }

  private void handle(Exchange exchange, BackendCall call, BackendReply reply, BackendLoad load) {
    if (reply instanceof BackendReply.Event event) {
      passEvent(exchange, call, event, load);
    } else if (reply instanceof BackendReply.Success) {
      begin(exchange, call);
      exchange.over = true;
      toClient(() -> exchange.content.client().whole(exchange.content));
      end(exchange, call, Kind.SUCCESS, 200, load);
    } else if (reply instanceof BackendReply.Failure failure) {
      exchange.failures.put(call.attempt(), failure.status());
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

  private void passEvent(
      Exchange exchange, BackendCall call, BackendReply.Event event, BackendLoad load) {
    if (exchange.over || !exchange.takesStream(call)) {
      return;
    }
    exchange.streaming = call.attempt();
    begin(exchange, call);
    exchange.lastEventId = event.id();
    idleTimers.heard(exchange, call);
    exchange.over = event.last();
    toClient(() -> exchange.content.client().event(exchange.content, event.id(), event.last()));
    if (event.last()) {
      end(exchange, call, Kind.SUCCESS, 200, load);
    }
  }

  private void begin(Exchange exchange, BackendCall call) {
    if (exchange.started.add(call.attempt()) || exchange.live.size() > 1) {
      feed(new RouterInput.AttemptStarted(exchange.id, call.attempt(), null));
    }
  }

  private void end(Exchange exchange, BackendCall call, Kind kind, int status, BackendLoad load) {
    call.close();
    if (exchange.lastLeft != call) {
      exchange.lastLeft = null; // ended by its backend or the network
    }
    exchange.live.remove(call.attempt());
    feed(
        new RouterInput.AttemptEnded(
            exchange.id,
            call.attempt(),
            new AttemptOutcome(kind, status),
            load,
            exchange.lastEventId));
    forgetIfDone(exchange);
  }

  private void forgetIfDone(Exchange exchange) {
    if (exchange.over && exchange.live.isEmpty()) {
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
    } else if (output instanceof RouterOutput.AbortConnection breakOff) {
      Exchange exchange = finalResponse(breakOff.request());
      if (exchange != null) {
        responseChecks.brokenOff(exchange, breakOff.reason());
        toClient(() -> exchange.content.client().broken(exchange.content));
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
      tell(new RouterInput.Wake());
    }
  }

  private void send(RouterOutput.SendAttempt send) {
    Exchange exchange = exchanges.get(send.request());
    if (exchange == null || exchange.over || !exchange.numbers.add(send.attempt())) {
      world.checker().broken(Rule.ATTEMPTS, "request " + send.request() + " is over");
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
    exchange.live.put(send.attempt(), call);
    exchange.idleMicros.put(send.attempt(), send.idleTimeoutMicros());
    SimulatedBackend backend = world.control().backend(send.backendId());
    world.measurements().called(backend.zone() != zone);
    world.network().send(call, backend);
    if (send.firstEventTimeoutMicros() > 0) {
      loop.after(send.firstEventTimeoutMicros(), () -> inbound(() -> timeOut(exchange, call)));
    }
  }

  /** Closes the connection to a backend that may still be at work. */
  private void leave(Exchange exchange, BackendCall call, Kind kind) {
    world.network().hostClosed(call, world.control().backend(call.backendId()));
    exchange.lastLeft = call;
    end(exchange, call, kind, 0, null);
  }

  private void timeOut(Exchange exchange, BackendCall call) {
    boolean silent = !exchange.started.contains(call.attempt());
    if (exchange.live.get(call.attempt()) == call && silent) {
      leave(exchange, call, call.transmission().outcomeIfTimedOut());
    }
  }

  private void respond(RouterOutput.Respond response) {
    Exchange exchange = finalResponse(response.request());
    if (exchange == null) {
      return;
    }
    responseChecks.responded(exchange, response.status());
    toClient(
        () ->
            exchange
                .content
                .client()
                .answered(exchange.content, response.status(), response.retryAfterMicros()));
  }

  private void relay(RouterOutput.RelayError relay) {
    Exchange exchange = finalResponse(relay.request());
    if (exchange == null) {
      return;
    }
    Integer status = exchange.failures.get(relay.attempt());
    if (status == null) {
      world.checker().broken(Rule.ANSWERS, exchange.content.attemptId() + " has no such failure");
      return;
    }
    toClient(() -> exchange.content.client().answered(exchange.content, status, 0));
  }

  /** Marks a request as answered; null, with the rule noted, if it was already. */
  private Exchange finalResponse(long request) {
    Exchange exchange = exchanges.get(request);
    if (exchange == null || exchange.over) {
      world.checker().broken(Rule.ANSWERS, "request " + request + " answered again");
      return null;
    }
    exchange.over = true;
    forgetIfDone(exchange);
    return exchange;
  }

  private void cancel(RouterOutput.CancelAttempt cancel) {
    Exchange exchange = exchanges.get(cancel.request());
    BackendCall call = exchange == null ? null : exchange.live.get(cancel.attempt());
    if (call == null) {
      return;
    }
    leave(exchange, call, Kind.CANCELLED);
  }

  private void toClient(Runnable action) {
    loop.after(world.plan().network().client(), action);
  }
}
