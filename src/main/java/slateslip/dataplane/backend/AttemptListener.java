package slateslip.dataplane.backend;

import slateslip.dataplane.stream.StreamEvent;

/** What is told of one attempt; all on the event loop, and never from within the call that started it. */
public interface AttemptListener {
  /** The head of a stream has come; its events follow. */
  void streamBegan(BackendAnswer head);

  /** A whole event has come. */
  void event(StreamEvent event);

  /** What had come has been told; the next part may take long. */
  void pause();

  /** The attempt has ended; told once, and last. */
  void ended(AttemptResult result);
}
