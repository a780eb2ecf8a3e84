package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.loadbalancer.net.ScriptedPeer;

/**
 * Limits the number of bytes that the event loop allocates for a request. Unlike times, allocations
 * hardly depend on the machine. A limit may be raised only with a reason in the commit message.
 */
class RequestAllocationTest {
  private static final int WARM_UP_REQUESTS = 300;
  private static final int MEASURED_REQUESTS = 200;
  private static final int EVENTS = 10;
  private static final long MAX_BYTES_PER_RESPONSE = 40_000;
  private static final long MAX_BYTES_PER_STREAM = 70_000;

  private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
  private DataPlaneFixture fixture;

  /** Sends a request on a persistent connection and reads the response. */
  private interface Call {
    void run(Socket socket, String attemptId) throws IOException;
  }

  @BeforeEach
  void open() throws IOException {
    fixture = new DataPlaneFixture();
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private long allocatedBytes() {
    long[] bytes = new long[1];
    fixture.onLoop(
        () -> bytes[0] = threads.getThreadAllocatedBytes(Thread.currentThread().getId()));
    return bytes[0];
  }

  /**
   * Returns the mean number of bytes allocated for one request, after enough requests that the
   * runtime has compiled the request path.
   */
  private long bytesPerRequest(Call call) throws IOException {
    Socket socket = fixture.dial();
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      call.run(socket, "w" + i);
    }
    long before = allocatedBytes();
    for (int i = 0; i < MEASURED_REQUESTS; i++) {
      call.run(socket, "r" + i);
    }
    return (allocatedBytes() - before) / MEASURED_REQUESTS;
  }

  @Test
  void allocationForAResponseStaysBelowTheLimit() throws IOException {
    fixture.backend((message, socket) -> DataPlaneFixture.serve(message, socket, "", "x"));
    long bytes =
        bytesPerRequest(
            (socket, id) -> {
              ScriptedPeer.write(socket, DataPlaneFixture.request(id, "", "body"));
              assertThat(ClientResponse.read(socket.getInputStream()).status(), is(200));
            });
    assertThat(bytes, is(lessThan(MAX_BYTES_PER_RESPONSE)));
  }

  @Test
  void allocationForAStreamStaysBelowTheLimit() throws IOException {
    StringBuilder events = new StringBuilder();
    for (int id = 1; id <= EVENTS; id++) {
      events.append(DataPlaneFixture.event(id));
    }
    fixture.backend(
        (message, socket) -> {
          DataPlaneFixture.beginStream(message, socket);
          DataPlaneFixture.chunk(socket, events.toString());
          DataPlaneFixture.lastChunk(socket);
        });
    long bytes =
        bytesPerRequest(
            (socket, id) -> {
              ScriptedPeer.write(socket, DataPlaneFixture.request(id, "", "body"));
              assertThat(ClientResponse.read(socket.getInputStream()).complete(), is(true));
            });
    assertThat(bytes, is(lessThan(MAX_BYTES_PER_STREAM)));
  }
}
