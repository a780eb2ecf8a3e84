package slateslip.dataplane.stream;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import slateslip.loadbalancer.net.StrictHttpDecoders;

/**
 * Splits the bytes of a {@code text/event-stream} response into complete events, and buffers the
 * bytes of an incomplete event.
 */
public final class EventSplitter {
  /** Maximum length of an event in bytes; a stream with a longer event is treated as broken. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  private static final int INITIAL_BUFFER_BYTES = 256;
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] pending = new byte[INITIAL_BUFFER_BYTES];
  private int length;

  /** Position in {@link #pending} at which the incomplete line starts. */
  private int lineStart;

  /** Whether a line that is not empty has been read since the last event. */
  private boolean hasContent;

  private long id = StreamEvent.NO_ID;

  /**
   * Reads bytes and passes each event that they complete to the consumer.
   *
   * @return false if an event is longer than {@link #MAX_EVENT_BYTES}; the rest of the stream
   *     cannot be read then
   */
  public boolean feed(ByteBuf bytes, Consumer<StreamEvent> events) {
    while (bytes.isReadable()) {
      byte next = bytes.readByte();
      if (length == MAX_EVENT_BYTES) {
        return false;
      }
      append(next);
      if (next == '\n') {
        endLine(events);
      }
    }
    return true;
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  public boolean hasPartialEvent() {
    return length > 0;
  }

  private void append(byte next) {
    if (length == pending.length) {
      pending = Arrays.copyOf(pending, 2 * length);
    }
    pending[length++] = next;
  }

  private void endLine(Consumer<StreamEvent> events) {
    int end = length - 1;
    if (end > lineStart && pending[end - 1] == '\r') {
      end--;
    }
    if (end > lineStart) {
      hasContent = true;
      readId(end);
      lineStart = length;
    } else if (hasContent) {
      StreamEvent event = new StreamEvent(id, Arrays.copyOf(pending, length));
      reset();
      events.accept(event);
    } else {
      reset(); // an empty line between events is ignored
    }
  }

  private void reset() {
    length = 0;
    lineStart = 0;
    hasContent = false;
    id = StreamEvent.NO_ID;
  }

  private void readId(int end) {
    int valueStart = lineStart + ID_FIELD.length;
    if (valueStart > end || !isIdLine()) {
      return;
    }
    String value = new String(pending, valueStart, end - valueStart, StandardCharsets.US_ASCII);
    id = StrictHttpDecoders.digits(value.trim(), StreamEvent.NO_ID);
  }

  private boolean isIdLine() {
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (pending[lineStart + i] != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }
}
