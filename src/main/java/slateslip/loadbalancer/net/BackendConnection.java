package slateslip.loadbalancer.net;

import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** One connection to a backend. */
final class BackendConnection extends ChannelInitializer<InspectableSocketChannel> {
  private final BackendConnections owner;
  private final BackendPool pool;
  private InspectableSocketChannel channel;

  /** The attempt that uses this connection, or null. */
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

  /** Returns the attempt that uses this connection, or null. */
  BackendAttempt attempt() {
    return attempt;
  }

  /** Assigns this connection to an attempt, or to none if {@code next} is null. */
  void assign(BackendAttempt next) {
    attempt = next;
  }

  /** Returns the time, by {@link System#nanoTime}, at which this connection became idle. */
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
