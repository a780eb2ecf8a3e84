package slateslip.soak;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import slateslip.soak.RequestRecord.Kind;
import slateslip.soak.RequestRecord.Outcome;

/**
 * A client that uses its connection until the data plane closes it. The client often sends the next
 * request immediately after the last byte of a response, and sometimes pipelines several requests.
 */
final class SoakClient implements Runnable {
  private static final List<Kind> KINDS = List.of(Kind.values());
  private static final int TIMEOUT_MILLIS = 30_000;
  private static final int DEADLINE_MILLIS = 15_000;
  private static final int RECONNECT_MILLIS = 50;
  private static final int MAX_DELAY_MILLIS = 300;
  private static final int MAX_PIPELINED = 3;
  private static final int NOT_FOUND = 404;

  private final SoakRun run;
  private final int index;
  private final SplittableRandom random;
  private int requests;
  private boolean connectionOpen;
  private boolean closeAnnounced;

  SoakClient(SoakRun run, int index, long seed) {
    this.run = run;
    this.index = index;
    this.random = new SplittableRandom(seed);
  }

  private record PendingRequest(
      String attemptId, Kind kind, String body, StreamSpec spec, String usage) {}

  @Override
  public void run() {
    try {
      while (!run.clientsShouldStop()) {
        useConnection(random.nextInt(run.options().dataPlanes()));
        TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private void useConnection(int dataPlane) throws InterruptedException {
    ProcessIncarnation incarnation = run.fleet().dataPlaneIncarnation(dataPlane);
    try (Socket socket = new Socket()) {
      socket.connect(run.fleet().front(dataPlane), TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      ProcessIncarnation after = run.fleet().dataPlaneIncarnation(dataPlane);
      if (incarnation == after) {
        exchange(socket, incarnation.name());
      }
    } catch (IOException notUp) {
      // the connection failed before a request was sent
    }
  }

  private void exchange(Socket socket, String process) throws IOException, InterruptedException {
    ResponseReader reader = new ResponseReader(socket.getInputStream());
    connectionOpen = true;
    closeAnnounced = false;
    while (connectionOpen && !closeAnnounced && !run.clientsShouldStop()) {
      List<PendingRequest> batch = drawBatch();
      StringBuilder text = new StringBuilder();
      batch.forEach(request -> text.append(head(request)).append(request.body()));
      long sentMillis = run.nowMillis();
      connectionOpen = write(socket, text.toString());
      for (PendingRequest request : batch) {
        readResponse(reader, request, process, sentMillis);
      }
      if (connectionOpen && random.nextBoolean()) {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_DELAY_MILLIS));
      }
    }
  }

  /**
   * Writes the text and returns whether the write succeeded. After a failed write, the client does
   * not read the responses that the connection may still hold.
   */
  private static boolean write(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      return true;
    } catch (IOException ended) {
      return false;
    }
  }

  /** Reads the response to one request and records how the request ended. */
  private void readResponse(
      ResponseReader reader, PendingRequest request, String process, long sentMillis) {
    Outcome outcome = Outcome.NO_RESPONSE;
    int status = 0;
    if (connectionOpen) {
      try {
        ResponseReader.Response response = reader.read();
        status = response.status();
        outcome = isExpected(request, response) ? Outcome.COMPLETE : Outcome.WRONG;
        closeAnnounced |= response.closesConnection();
      } catch (IOException ended) {
        connectionOpen = false;
        outcome = reader.hasStarted() ? Outcome.TRUNCATED : Outcome.NO_RESPONSE;
      }
    }
    run.record(
        new RequestRecord(
            request.attemptId(),
            request.kind(),
            process,
            sentMillis,
            run.nowMillis(),
            outcome,
            status));
  }

  private static boolean isExpected(PendingRequest request, ResponseReader.Response response) {
    if (response.status() != 200) {
      boolean unknown = response.status() == NOT_FOUND && request.kind() != Kind.OPTIONAL_ENTRY;
      return !unknown;
    }
    String expected = request.spec() == null ? request.body() : request.spec().body();
    return response.body().equals(expected)
        && request.attemptId().equals(response.headers().get("X-Attempt-Id"));
  }

  private List<PendingRequest> drawBatch() {
    int count = random.nextInt(4) == 0 ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
    List<PendingRequest> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      batch.add(drawRequest());
    }
    return batch;
  }

  private PendingRequest drawRequest() {
    String attemptId = "c" + index + "-" + ++requests;
    Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    if (kind != Kind.STREAM) {
      String usage = kind == Kind.LIMITED_ENTRY ? SoakQuota.drawUsage(random) : null;
      return new PendingRequest(attemptId, kind, "entry of " + attemptId, null, usage);
    }
    int events = 1 + random.nextInt(20);
    boolean stalls = random.nextInt(4) == 0;
    StreamSpec spec =
        new StreamSpec(
            events,
            random.nextInt(120),
            stalls ? 1 + random.nextInt(events) : 0,
            stalls ? 500 + random.nextInt(2_500) : 0);
    return new PendingRequest(attemptId, kind, spec.text(), spec, null);
  }

  private static String head(PendingRequest request) {
    return "POST "
        + SoakConfiguration.path(request.kind())
        + " HTTP/1.1\r\nHost: "
        + SoakConfiguration.HOST
        + "\r\nX-Attempt-Id: "
        + request.attemptId()
        + "\r\nX-Deadline-Ms: "
        + DEADLINE_MILLIS
        + quotaHeaders(request)
        + "\r\nContent-Length: "
        + request.body().length()
        + "\r\n\r\n";
  }

  private static String quotaHeaders(PendingRequest request) {
    return request.usage() == null
        ? ""
        : "\r\nX-Credential: "
            + SoakQuota.KEY
            + "\r\n"
            + SoakQuota.USAGE_HEADER
            + ": "
            + request.usage();
  }
}
