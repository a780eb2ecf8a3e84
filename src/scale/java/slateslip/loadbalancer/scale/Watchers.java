package slateslip.loadbalancer.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Callers of discovery that keep nothing but the version: the least that a caller costs, so that
 * what is measured is discovery's part. Each gets the whole list and then watches, on a connection
 * from a host of its own.
 */
final class Watchers implements AutoCloseable {
  private static final Pattern INDEX = Pattern.compile("^\\{\"index\":(\\d+)");

  /** So much of a response holds its version. */
  private static final int BEGIN = 40;

  /** The hosts are 127.BLOCK.x.y. */
  private static final int BLOCK = 77;

  private final Bootstrap bootstrap;
  private final InetSocketAddress discovery;
  private final long waitMs;
  private final List<Channel> channels = new CopyOnWriteArrayList<>();
  private final AtomicLong responses = new AtomicLong();
  private final AtomicLong wholes = new AtomicLong();
  private final AtomicLong broken = new AtomicLong();
  private volatile String why = "closed";

  /**
   * None yet.
   *
   * @param waitMs how long each watch waits
   */
  Watchers(EventLoopGroup group, InetSocketAddress discovery, long waitMs) {
    this.discovery = discovery;
    this.waitMs = waitMs;
    this.bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpClientCodec(), new Watcher());
                  }
                });
  }

  /** Adds so many; they connect at once. */
  void add(int count) {
    for (int i = 0; i < count; i++) {
      String host = Addresses.host(BLOCK, channels.size());
      var connecting = bootstrap.connect(discovery, new InetSocketAddress(host, 0));
      channels.add(connecting.channel());
      connecting.addListener(done -> broken.addAndGet(done.isSuccess() ? 0 : 1));
    }
  }

  /** Answers so far, whole lists among them. */
  long responses() {
    return responses.get();
  }

  /** Whole lists read to their end. */
  long wholes() {
    return wholes.get();
  }

  /** Connections that failed or ended before {@link #close}. */
  long broken() {
    return broken.get();
  }

  /** Why the last of them did, where anything is known. */
  String why() {
    return why;
  }

  @Override
  public void close() {
    channels.forEach(Channel::close);
  }

  /** One connection. */
  private final class Watcher extends SimpleChannelInboundHandler<HttpObject> {
    private final StringBuilder begin = new StringBuilder();
    private long version = -1;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      call(ctx);
    }

    private void call(ChannelHandlerContext ctx) {
      String uri =
          "/v1/servers" + (version < 0 ? "" : "?since=" + version + "&timeout_ms=" + waitMs);
      var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
      request.headers().set(HttpHeaderNames.HOST, "discovery");
      ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      if (part instanceof HttpContent content && begin.length() < BEGIN) {
        int bytes = Math.min(BEGIN - begin.length(), content.content().readableBytes());
        begin.append(
            content
                .content()
                .toString(content.content().readerIndex(), bytes, StandardCharsets.US_ASCII));
      }
      if (part instanceof LastHttpContent) {
        Matcher index = INDEX.matcher(begin.toString());
        if (!index.find()) {
          ctx.close(); // a refusal, or no list
          return;
        }
        begin.setLength(0);
        wholes.addAndGet(version < 0 ? 1 : 0);
        version = Long.parseLong(index.group(1));
        responses.incrementAndGet();
        call(ctx);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      broken.incrementAndGet();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      why = String.valueOf(cause);
      ctx.close();
    }
  }
}
