package slateslip.dataplane.ingress;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import slateslip.configuration.HeaderText;
import slateslip.dataplane.HeaderNames;
import slateslip.loadbalancer.net.StrictHttpDecoders;
import slateslip.routing.RequestAttributes;
import slateslip.routing.RequestAttributes.PromptPart;

/** Validates the head of a request and reads the request's attributes from it. */
final class RequestHead {
  /**
   * Headers that may occur only once: with a second value, two recipients could interpret the same
   * request differently.
   */
  private static final List<CharSequence> SINGLE_VALUED =
      List.of(
          HttpHeaderNames.HOST,
          HeaderNames.ATTEMPT_ID,
          HeaderNames.DEADLINE_MS,
          HeaderNames.CREDENTIAL,
          HeaderNames.LAST_EVENT_ID,
          HeaderNames.MODEL,
          HeaderNames.TOKEN_USAGE,
          HeaderNames.PROMPT_PREFIX);

  private static final int HEX_RADIX = 16;
  private static final int HEX_DIGITS_OF_LONG = 16;
  private static final int MAX_PROMPT_PARTS = 256;
  private static final char DELETE = 0x7f;

  private RequestHead() {}

  /**
   * Returns the status of the error response if the request must be rejected, or null if the
   * request is well-formed and its body is not too long.
   *
   * @param length length of the body as returned by {@link StrictHttpDecoders#framing}
   */
  static HttpResponseStatus rejection(HttpRequest head, long length, long maxBodyBytes) {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
    }
    if (length == StrictHttpDecoders.AMBIGUOUS || head.method().equals(HttpMethod.CONNECT)) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    if (length > maxBodyBytes) {
      return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
    }
    String expected = head.headers().get(HttpHeaderNames.EXPECT);
    if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
      return HttpResponseStatus.EXPECTATION_FAILED;
    }
    return isWellFormed(head) ? null : HttpResponseStatus.BAD_REQUEST;
  }

  /** Returns the status of the error response to a request whose head could not be decoded. */
  static HttpResponseStatus rejection(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  private static boolean isWellFormed(HttpRequest head) {
    HttpHeaders headers = head.headers();
    String target = head.uri();
    if (!target.startsWith("/")
        || !hasOnlyVisibleCharacters(target)
        || !HeaderText.isUtf8(target)) {
      return false;
    }
    if (headers.get(HttpHeaderNames.HOST, "").isEmpty()) {
      return false;
    }
    for (CharSequence name : SINGLE_VALUED) {
      if (headers.getAll(name).size() > 1) {
        return false;
      }
    }
    for (Map.Entry<String, String> header : headers) {
      if (hasControlCharacter(header.getValue())) {
        return false;
      }
    }
    return true;
  }

  private static boolean hasOnlyVisibleCharacters(String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character <= ' ' || character == DELETE) {
        return false;
      }
    }
    return true;
  }

  private static boolean hasControlCharacter(String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if ((character < ' ' && character != '\t') || character == DELETE) {
        return true;
      }
    }
    return false;
  }

  /**
   * Reads the attributes of a well-formed request. Numbers that cannot be parsed are treated as
   * absent.
   */
  static RequestAttributes attributes(HttpRequest head, int bodyBytes) {
    HttpHeaders headers = head.headers();
    String usage = headers.get(HeaderNames.TOKEN_USAGE);
    int comma = usage == null ? -1 : usage.indexOf(',');
    String target = HeaderText.decode(head.uri());
    int query = target.indexOf('?');
    String credential = headers.get(HeaderNames.CREDENTIAL);
    return new RequestAttributes(
        headers.get(HeaderNames.ATTEMPT_ID, ""),
        HeaderText.decode(headers.get(HttpHeaderNames.HOST)),
        query < 0 ? target : target.substring(0, query),
        credential == null ? null : HeaderText.decode(credential),
        StrictHttpDecoders.digits(headers.get(HeaderNames.DEADLINE_MS), 0),
        comma < 0 ? -1 : StrictHttpDecoders.digits(usage.substring(0, comma).trim(), -1),
        comma < 0 ? -1 : StrictHttpDecoders.digits(usage.substring(comma + 1).trim(), -1),
        promptParts(headers.get(HeaderNames.PROMPT_PREFIX)),
        StrictHttpDecoders.digits(headers.get(HeaderNames.LAST_EVENT_ID), -1),
        headers.get(HeaderNames.MODEL, ""),
        bodyBytes);
  }

  private static List<PromptPart> promptParts(String text) {
    if (text == null || text.isBlank()) {
      return List.of();
    }
    List<PromptPart> parts = new ArrayList<>();
    for (String part : text.split(",", MAX_PROMPT_PARTS)) {
      int colon = part.indexOf(':');
      long tokens =
          colon < 0 ? -1 : StrictHttpDecoders.digits(part.substring(colon + 1).trim(), -1);
      if (tokens < 0 || tokens > Integer.MAX_VALUE) {
        return List.of();
      }
      try {
        parts.add(new PromptPart(partId(part.substring(0, colon).trim()), (int) tokens));
      } catch (NumberFormatException malformed) {
        return List.of();
      }
    }
    return List.copyOf(parts);
  }

  private static long partId(String hex) {
    int from = Math.max(0, hex.length() - HEX_DIGITS_OF_LONG);
    return Long.parseUnsignedLong(hex.substring(from), HEX_RADIX);
  }
}
