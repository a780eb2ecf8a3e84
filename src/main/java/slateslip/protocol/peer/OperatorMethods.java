package slateslip.protocol.peer;

import slateslip.distribution.peer.OperatorRequest;
import slateslip.protocol.peer.generated.OperatorMethod;

/** Converts the HTTP methods of the operator's requests to and from their SBE values. */
final class OperatorMethods {
  private OperatorMethods() {}

  static OperatorMethod toWire(OperatorRequest.Method method) {
    return switch (method) {
      case GET -> OperatorMethod.GET;
      case PUT -> OperatorMethod.PUT;
      case PATCH -> OperatorMethod.PATCH;
    };
  }

  static OperatorRequest.Method fromWire(OperatorMethod method) {
    return switch (method) {
      case GET -> OperatorRequest.Method.GET;
      case PUT -> OperatorRequest.Method.PUT;
      case PATCH -> OperatorRequest.Method.PATCH;
      case NULL_VAL -> throw new IllegalArgumentException("the request has no method");
    };
  }
}
