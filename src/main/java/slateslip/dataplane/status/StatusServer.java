package slateslip.dataplane.status;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import slateslip.loadbalancer.net.StrictHttpDecoders;

/**
 * Serves {@code GET /ready} (status 200 or 503) and {@code GET /metrics} (Prometheus text format).
 * Confined to the event loop.
 */
public final class StatusServer {
  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_HEAD_BYTES = 8192;
  private static final int READ_TIMEOUT_SECONDS = 30;
  private static final String METRICS_TYPE = "text/plain; version=0.0.4";

  private final BooleanSupplier ready;
  private final Supplier<String> metrics;
  private final Channel server;

  /**
   * Starts to listen. Has to be called from outside the event loop, because the constructor waits
   * for the loop.
   *
   * @param ready returns whether the process accepts requests
   * @param metrics returns the metrics in the Prometheus text format
   * @throws IOException if the address cannot be listened on
   */
  public StatusServer(
      EventLoop loop, InetSocketAddress address, BooleanSupplier ready, Supplier<String> metrics)
      throws IOException {
    this.ready = ready;
    this.metrics = metrics;
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                            new StrictHttpDecoders.Requests(MAX_LINE_BYTES, MAX_HEAD_BYTES),
                            new HttpResponseEncoder(),
                            new StatusHandler());
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IOException("cannot listen on " + address + ": " + bindFuture.cause().getMessage());
    }
    server = bindFuture.channel();
  }

  /** Returns the address at which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  private final class StatusHandler extends SimpleChannelInboundHandler<HttpObject> {
    private HttpRequest head;

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (part.decoderResult().isFailure()) {
        context.close();
        return;
      }
      if (part instanceof HttpRequest request) {
        head = request;
      }
      if (part instanceof LastHttpContent) {
        respond(context, head);
      }
    }

    private void respond(ChannelHandlerContext context, HttpRequest request) {
      if (!request.method().equals(HttpMethod.GET)) {
        write(context, request, HttpResponseStatus.METHOD_NOT_ALLOWED, "");
      } else if (request.uri().equals("/ready")) {
        HttpResponseStatus status =
            ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        write(context, request, status, "");
      } else if (request.uri().equals("/metrics")) {
        write(context, request, HttpResponseStatus.OK, metrics.get());
      } else {
        write(context, request, HttpResponseStatus.NOT_FOUND, "");
      }
    }

    private void write(
        ChannelHandlerContext context,
        HttpRequest request,
        HttpResponseStatus status,
        String text) {
      ByteBuf body = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
      var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      if (!text.isEmpty()) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, METRICS_TYPE);
      }
      boolean last = !HttpUtil.isKeepAlive(request);
      if (last) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      ChannelFuture written = context.writeAndFlush(response);
      if (last) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
