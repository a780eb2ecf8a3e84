package slateslip.controlplane;

import jakarta.servlet.ReadListener;
import jakarta.servlet.ServletInputStream;
import jakarta.servlet.http.HttpServletRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Reads the body of a request asynchronously as bytes arrive, so that a slow client does not block
 * a thread.
 */
final class AsyncBodyReader implements ReadListener {
  private static final int CHUNK_BYTES = 16 * 1024;

  /**
   * Limits how long a body may take to arrive. A minimum data rate would instead reject small
   * bodies on a busy machine, where some milliseconds may pass between the arrival of the first
   * byte and the check of the rate.
   */
  private static final long MAX_SECONDS = 10;

  private final ServletInputStream input;
  private final int maxBytes;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final CompletableFuture<byte[]> result = new CompletableFuture<>();

  private AsyncBodyReader(ServletInputStream input, int maxBytes) {
    this.input = input;
    this.maxBytes = maxBytes;
  }

  /**
   * Starts to read the body of a request, which must already be in asynchronous mode.
   *
   * @return completes with the body, or with a {@link BodyTooLargeException} if the body is longer
   *     than {@code maxBytes}, or with another exception if the body does not arrive completely in
   *     time
   */
  static CompletableFuture<byte[]> read(HttpServletRequest request, int maxBytes) {
    try {
      AsyncBodyReader body = new AsyncBodyReader(request.getInputStream(), maxBytes);
      body.input.setReadListener(body);
      return body.result.orTimeout(MAX_SECONDS, TimeUnit.SECONDS);
    } catch (IOException failed) {
      return CompletableFuture.failedFuture(failed);
    }
  }

  @Override
  public void onDataAvailable() throws IOException {
    byte[] chunk = new byte[CHUNK_BYTES];
    while (!result.isDone() && input.isReady()) {
      int count = input.read(chunk);
      if (count < 0) {
        return;
      }
      content.write(chunk, 0, count);
      if (content.size() > maxBytes) {
        result.completeExceptionally(new BodyTooLargeException(maxBytes));
      }
    }
  }

  @Override
  public void onAllDataRead() {
    result.complete(content.toByteArray());
  }

  @Override
  public void onError(Throwable failure) {
    result.completeExceptionally(failure);
  }

  /** Signals that a body is longer than its limit. */
  static final class BodyTooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    private BodyTooLargeException(int maxBytes) {
      super("the body is longer than " + maxBytes + " bytes");
    }
  }
}
