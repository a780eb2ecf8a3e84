package slateslip.dataplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import slateslip.dataplane.DataPlaneFixture.ClientResponse;
import slateslip.dataplane.ingress.ClientExchange;
import slateslip.dataplane.ingress.ClientIngress;
import slateslip.dataplane.ingress.ClientRequest;
import slateslip.dataplane.ingress.DropReason;
import slateslip.dataplane.ingress.IngressListener;
import slateslip.eventloop.WakeUpCounter;
import slateslip.loadbalancer.net.ScriptedPeer;

/**
 * Tests requests that have arrived in a socket or in the accept queue while the event loop was
 * busy. A client cannot distinguish such a request from one that was read, so each of them has to
 * get a response too.
 */
class ArrivedRequestTest {
  private static final int MAX_CONNECTIONS = 100;
  private static final String EVENT = "id: 1\n\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<ClientExchange> arrived = new LinkedBlockingQueue<>();
  private ClientIngress ingress;

  /** A step of a test, which may throw an {@link IOException}. */
  private interface Step {
    void run() throws IOException;
  }

  @BeforeEach
  void open() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    PeriodicTasks periodic = new PeriodicTasks(loop, new WakeUpCounter());
    ingress = new ClientIngress(loop, periodic, any, MAX_CONNECTIONS, new Listener());
    periodic.start();
  }

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Runs a step in one turn of the event loop, which reads no sockets meanwhile. */
  private void inOneTurn(Step step) {
    loop.submit(
            () -> {
              step.run();
              return null;
            })
        .syncUninterruptibly();
  }

  private Socket dial() throws IOException {
    Socket socket = new Socket(ingress.address().getAddress(), ingress.address().getPort());
    socket.setSoTimeout(DataPlaneFixture.TIMEOUT_MILLIS);
    return socket;
  }

  private static void send(Socket socket, String attemptId) throws IOException {
    ScriptedPeer.write(socket, DataPlaneFixture.request(attemptId, "", ""));
  }

  private static void respond(ClientExchange exchange) {
    exchange.relay(HttpResponseStatus.OK, new DefaultHttpHeaders(), new byte[0], 0);
  }

  private ClientExchange nextArrived() throws InterruptedException {
    return arrived.poll(DataPlaneFixture.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Test
  void requestThatArrivesBeforeTheResponseIsServedAfterIt() throws Exception {
    try (Socket socket = dial()) {
      send(socket, "a1");
      ClientExchange first = nextArrived();
      inOneTurn(
          () -> {
            ingress.startShutdown();
            send(socket, "a2");
            respond(first);
          });
      ClientResponse response = ClientResponse.read(socket.getInputStream());
      assertThat(response.status(), is(200));
      assertThat(response.header("Connection"), is(nullValue()));
      ClientExchange second = nextArrived();
      inOneTurn(() -> respond(second));
      ClientResponse last = ClientResponse.read(socket.getInputStream());
      assertThat(last.status(), is(200));
      assertThat(last.header("Connection"), is("close"));
    }
  }

  @Test
  void requestThatArrivesAfterAnAnnouncedLastResponseIsRefused() throws Exception {
    try (Socket socket = dial()) {
      send(socket, "a1");
      ClientExchange first = nextArrived();
      inOneTurn(
          () -> {
            ingress.startShutdown();
            first.beginStream(HttpResponseStatus.OK, new DefaultHttpHeaders());
            first.writeEvent(EVENT.getBytes(StandardCharsets.UTF_8));
            send(socket, "a2");
            first.endStream();
          });
      ClientResponse stream = ClientResponse.read(socket.getInputStream());
      assertThat(stream.body(), is(EVENT));
      assertThat(stream.header("Connection"), is("close"));
      ClientResponse refusal = ClientResponse.read(socket.getInputStream());
      assertThat(refusal.status(), is(503));
      assertThat(refusal.header("X-Attempt-Id"), is("a2"));
      assertThat(socket.getInputStream().read(), is(-1));
      assertThat(arrived.isEmpty(), is(true));
    }
  }

  @Test
  void requestInTheAcceptQueueIsRefusedBeforeTheListenerCloses() throws Exception {
    Socket[] waiting = new Socket[1];
    inOneTurn(
        () -> {
          waiting[0] = dial();
          send(waiting[0], "a1");
          ingress.startShutdown();
          ingress.refuseRequests();
          ingress.stopListening();
          ingress.closeIdle();
        });
    try (Socket socket = waiting[0]) {
      ClientResponse refusal = ClientResponse.read(socket.getInputStream());
      assertThat(refusal.status(), is(503));
      assertThat(refusal.header("X-Attempt-Id"), is("a1"));
      assertThat(socket.getInputStream().read(), is(-1));
    }
  }

  /** Collects the exchanges of the requests that were read. */
  private final class Listener implements IngressListener {
    @Override
    public void requestArrived(ClientRequest request, ClientExchange exchange) {
      arrived.add(exchange);
    }

    @Override
    public void clientGone(ClientExchange exchange) {}

    @Override
    public void requestDropped(ClientRequest request, DropReason reason) {}

    @Override
    public void clientWritable(ClientExchange exchange) {}
  }
}
