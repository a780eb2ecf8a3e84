package slateslip.protocol.exchange;

import slateslip.distribution.exchange.OperatorRequest;
import slateslip.protocol.exchange.generated.CallMethod;

/** The methods of operator's calls on the wire. */
final class OperatorMethods {
  private OperatorMethods() {}

  static CallMethod toWire(OperatorRequest.Method method) {
    return switch (method) {
      case GET -> CallMethod.GET;
      case PUT -> CallMethod.PUT;
      case PATCH -> CallMethod.PATCH;
    };
  }

  static OperatorRequest.Method fromWire(CallMethod method) {
    return switch (method) {
      case GET -> OperatorRequest.Method.GET;
      case PUT -> OperatorRequest.Method.PUT;
      case PATCH -> OperatorRequest.Method.PATCH;
      case NULL_VAL -> throw new IllegalArgumentException("no method");
    };
  }
}
