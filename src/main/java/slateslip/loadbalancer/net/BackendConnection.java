package slateslip.loadbalancer.net;

import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** One connection to a server. */
final class BackendConnection extends ChannelInitializer<InspectableSocketChannel> {
  private final BackendConnections owner;
  private final BackendPool pool;
  private InspectableSocketChannel channel;

  /** The attempt that uses it, or null. */
  private BackendAttempt attempt;

  private long idleSince;

  BackendConnection(BackendConnections owner, BackendPool pool) {
    this.owner = owner;
    this.pool = pool;
  }

  BackendPool pool() {
    return pool;
  }

  InspectableSocketChannel channel() {
    return channel;
  }

  /** The attempt that uses it, or null. */
  BackendAttempt attempt() {
    return attempt;
  }

  /** An attempt uses it from now on; null for none. */
  void use(BackendAttempt next) {
    attempt = next;
  }

  /** Since when it has been idle, in nanoseconds of steady time. */
  long idleSince() {
    return idleSince;
  }

  void markIdle() {
    idleSince = System.nanoTime();
  }

  boolean isTooOld() {
    return System.nanoTime() - idleSince >= owner.idleTimeout().limitNanos();
  }

  @Override
  protected void initChannel(InspectableSocketChannel ch) {
    channel = ch;
    StrictHttpDecoders.Responses decoder = new StrictHttpDecoders.Responses();
    ch.pipeline()
        .addLast(
            decoder, new HttpRequestEncoder(), new BackendResponseHandler(owner, this, decoder));
  }
}
