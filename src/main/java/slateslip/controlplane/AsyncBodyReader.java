package slateslip.controlplane;

import jakarta.servlet.ReadListener;
import jakarta.servlet.ServletInputStream;
import jakarta.servlet.http.HttpServletRequest;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Reads the body of a call as its bytes come: a caller that is slow holds no thread. */
final class AsyncBodyReader implements ReadListener {
  private static final int PART_BYTES = 16 * 1024;

  private final ServletInputStream input;
  private final int limit;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final CompletableFuture<byte[]> whole = new CompletableFuture<>();

  private AsyncBodyReader(ServletInputStream input, int limit) {
    this.input = input;
    this.limit = limit;
  }

  /**
   * Begins to read; the call must be asynchronous already.
   *
   * @return completes with the body, or with a {@link BodyTooLargeException} if it is longer than
   *     the limit
   */
  static CompletableFuture<byte[]> read(HttpServletRequest request, int limit) {
    try {
      AsyncBodyReader body = new AsyncBodyReader(request.getInputStream(), limit);
      body.input.setReadListener(body);
      return body.whole;
    } catch (IOException failed) {
      return CompletableFuture.failedFuture(failed);
    }
  }

  @Override
  public void onDataAvailable() throws IOException {
    byte[] part = new byte[PART_BYTES];
    while (!whole.isDone() && input.isReady()) {
      int count = input.read(part);
      if (count < 0) {
        return;
      }
      content.write(part, 0, count);
      if (content.size() > limit) {
        whole.completeExceptionally(new BodyTooLargeException(limit));
      }
    }
  }

  @Override
  public void onAllDataRead() {
    whole.complete(content.toByteArray());
  }

  @Override
  public void onError(Throwable failure) {
    whole.completeExceptionally(failure);
  }

  /** The body is longer than it may be. */
  static final class BodyTooLargeException extends IOException {
    private static final long serialVersionUID = 1;

    private BodyTooLargeException(int limit) {
      super("the body is longer than " + limit + " bytes");
    }
  }
}
