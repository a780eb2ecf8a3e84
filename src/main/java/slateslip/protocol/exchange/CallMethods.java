package slateslip.protocol.exchange;

import slateslip.distribution.exchange.OperatorCall;
import slateslip.protocol.exchange.generated.CallMethod;

/** The methods of operator's calls on the wire. */
final class CallMethods {
  private CallMethods() {}

  static CallMethod toWire(OperatorCall.Method method) {
    return switch (method) {
      case GET -> CallMethod.GET;
      case PUT -> CallMethod.PUT;
      case PATCH -> CallMethod.PATCH;
    };
  }

  static OperatorCall.Method fromWire(CallMethod method) {
    return switch (method) {
      case GET -> OperatorCall.Method.GET;
      case PUT -> OperatorCall.Method.PUT;
      case PATCH -> OperatorCall.Method.PATCH;
      case NULL_VAL -> throw new IllegalArgumentException("no method");
    };
  }
}
