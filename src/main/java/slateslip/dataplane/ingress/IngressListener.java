package slateslip.dataplane.ingress;

/** Receives the events of client connections. All methods are called on the event loop. */
public interface IngressListener {
  /**
   * Called when a complete request has been read; exactly one response must be sent through the
   * exchange.
   */
  void requestArrived(ClientRequest request, ClientExchange exchange);

  /** Called when the client disconnected before its response was complete. */
  void clientGone(ClientExchange exchange);

  /**
   * Called when a request that was read completely receives no response, because its connection
   * ends before the request is served.
   */
  void requestDropped(ClientRequest request, DropReason reason);

  /** Called when the client has read data, so that more of the response may be written. */
  void clientWritable(ClientExchange exchange);
}
