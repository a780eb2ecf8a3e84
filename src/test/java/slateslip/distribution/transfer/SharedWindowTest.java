package slateslip.distribution.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

/** Tests how many bytes the streams of one control agent may have in flight together. */
final class SharedWindowTest {
  private static final int MANY_STREAMS = 94;

  private final SharedWindow window = new SharedWindow();

  /** Sends on a stream as long as the window permits, and returns the bytes in flight. */
  private int sendAll() {
    int streamBytes = 0;
    int segmentBytes = window.maxSegmentBytes(streamBytes);
    while (segmentBytes > 0) {
      streamBytes += segmentBytes;
      window.changed(segmentBytes);
      segmentBytes = window.maxSegmentBytes(streamBytes);
    }
    return streamBytes;
  }

  @Test
  void singleStreamIsLimited() {
    assertThat(sendAll(), is(SharedWindow.MAX_STREAM_BYTES));
  }

  @Test
  void eachOfManyStreamsHasSegmentInFlight() {
    int total = 0;
    for (int stream = 0; stream < MANY_STREAMS; stream++) {
      total += sendAll();
    }
    int limit = SharedWindow.MAX_SHARED_BYTES + MANY_STREAMS * SharedWindow.MIN_SEGMENT_BYTES;
    assertThat(total, lessThanOrEqualTo(limit));
    assertThat(window.maxSegmentBytes(0), is(SharedWindow.MIN_SEGMENT_BYTES));
  }

  @Test
  void acknowledgedBytesMakeRoom() {
    int streamBytes = sendAll();
    window.changed(-streamBytes);
    assertThat(sendAll(), is(streamBytes));
  }
}
