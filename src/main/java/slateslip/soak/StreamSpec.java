package slateslip.soak;

import java.util.Arrays;

/**
 * Parameters of a stream, which the client sends in the request body.
 *
 * @param events number of events
 * @param gapMillis milliseconds between two events
 * @param stallBefore id of the event before which the backend stalls, or 0 for no stall
 * @param stallMillis duration of the stall in milliseconds
 */
record StreamSpec(int events, int gapMillis, int stallBefore, int stallMillis) {
  static StreamSpec parse(String text) {
    int[] parts = Arrays.stream(text.split(",", -1)).mapToInt(Integer::parseInt).toArray();
    return new StreamSpec(parts[0], parts[1], parts[2], parts[3]);
  }

  String text() {
    return events + "," + gapMillis + "," + stallBefore + "," + stallMillis;
  }

  String event(int id) {
    return "id: " + id + "\ndata: piece " + id + " of " + events + "\n\n";
  }

  /** Returns the complete response body of a stream that is read from its first event. */
  String body() {
    StringBuilder body = new StringBuilder();
    for (int id = 1; id <= events; id++) {
      body.append(event(id));
    }
    return body.toString();
  }
}
