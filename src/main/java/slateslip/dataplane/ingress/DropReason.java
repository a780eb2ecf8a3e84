package slateslip.dataplane.ingress;

/** Reason why a request that was read completely receives no response. */
public enum DropReason {
  /** The client closed the connection, or the connection broke. */
  CLIENT_GONE,
  /** The response to an earlier request on the same connection was aborted. */
  BEHIND_BROKEN_RESPONSE
}
