package slateslip.dataplane.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the splitting of a stream into events, independent of how its bytes are divided into reads.
 */
class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();
  private final List<StreamEvent> events = new ArrayList<>();

  private boolean feed(String text) {
    return splitter.feed(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1), events::add);
  }

  private List<String> texts() {
    return events.stream()
        .map(event -> new String(event.bytes(), StandardCharsets.ISO_8859_1))
        .toList();
  }

  private List<Long> ids() {
    return events.stream().map(StreamEvent::id).toList();
  }

  @Test
  void emitsCompleteEventsAndBuffersTheRest() {
    feed("id: 1\ndata: a\n\nid:2\ndata: b\n\nid: 3\n");
    assertThat(texts(), contains("id: 1\ndata: a\n\n", "id:2\ndata: b\n\n"));
    assertThat(ids(), contains(1L, 2L));
    assertThat(splitter.hasPartialEvent(), is(true));
  }

  @Test
  void emitsTheSameEventsByteByByte() {
    String text = "id: 1\r\ndata: a\r\n\r\nversions: 7\nid: 12\ndata: b\n\n";
    for (int i = 0; i < text.length(); i++) {
      feed(text.substring(i, i + 1));
    }
    assertThat(texts(), contains("id: 1\r\ndata: a\r\n\r\n", "versions: 7\nid: 12\ndata: b\n\n"));
    assertThat(ids(), contains(1L, 12L));
    assertThat(splitter.hasPartialEvent(), is(false));
  }

  @Test
  void missingOrNonNumericIdIsReadAsNoId() {
    feed("data: a\n\nid: x\ndata: b\n\nid:\n\n");
    assertThat(ids(), contains(StreamEvent.NO_ID, StreamEvent.NO_ID, StreamEvent.NO_ID));
  }

  @Test
  void emptyLinesBetweenEventsAreNoEvents() {
    feed("\n\r\nid: 1\n\n\n\n");
    assertThat(ids(), contains(1L));
    assertThat(splitter.hasPartialEvent(), is(false));
  }

  @Test
  void overlongEventIsRejected() {
    assertThat(feed("x".repeat(EventSplitter.MAX_EVENT_BYTES)), is(true));
    assertThat(feed("x"), is(false));
    assertThat(events, is(empty()));
  }
}
