package slateslip.loadbalancer.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import slateslip.loadbalancer.LoadBalancer;

/**
 * Parses client requests according to the protocol. Stateless. An invalid request yields null or
 * the status of the error response.
 */
final class RequestParser {
  /** Headers that are valid only between two hops, or that the agent sets itself. */
  private static final List<CharSequence> NOT_FORWARDED =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH);

  /**
   * Headers that may occur only once. With two values, the agent and the backend might each use a
   * different one.
   */
  private static final List<String> SINGLE_VALUED =
      List.of(
          "Host",
          "Request-Id",
          "Request-Class",
          "Tenant",
          "Affinity-Key",
          BackendConnections.REQUEST_TIMEOUT,
          "Client-Retry",
          "Work-Hint",
          "Request-Info",
          "Idempotency-Key");

  /**
   * Headers whose values may contain any UTF-8 text: names from the settings, and keys that the
   * application chooses.
   */
  private static final List<String> UTF8_HEADERS = List.of("Tenant", "Affinity-Key");

  private static final long MAX_TIMEOUT_MS = 3_600_000;
  private static final int MAX_TOKEN_LENGTH = 128;
  private static final int ASCII_LIMIT = 128;

  private RequestParser() {}

  /** Returns whether a request is a health check of the agent itself. */
  static boolean isHealthCheck(HttpRequest head) {
    return head.uri().equals("/healthz")
        && head.method().equals(HttpMethod.GET)
        && !head.headers().contains("Request-Id");
  }

  /**
   * Returns the error status if the end of the request's body cannot be determined or the body will
   * not be read, else null.
   */
  static HttpResponseStatus framingError(HttpRequest head, long length) {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
    }
    if (length == StrictHttpDecoders.AMBIGUOUS) {
      return HttpResponseStatus.BAD_REQUEST;
    }
    if (length > BackendConnections.BODY_MAX) {
      return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
    }
    String expected = head.headers().get(HttpHeaderNames.EXPECT);
    if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
      return HttpResponseStatus.EXPECTATION_FAILED;
    }
    boolean bodiless = length == 0 || length == StrictHttpDecoders.NO_LENGTH;
    if (head.method().equals(HttpMethod.GET)) {
      return bodiless ? null : HttpResponseStatus.BAD_REQUEST;
    }
    return length == StrictHttpDecoders.NO_LENGTH ? HttpResponseStatus.LENGTH_REQUIRED : null;
  }

  /**
   * Parses a request; returns null if it violates the protocol. A backend might reject such a
   * request or close the connection on it.
   */
  static IncomingRequest parse(AgentConfig config, HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (!isVisible(request.uri(), '!', false)
        || !request.uri().startsWith("/")
        || SINGLE_VALUED.stream().anyMatch(name -> headers.getAll(name).size() > 1)) {
      return null;
    }
    for (Map.Entry<String, String> each : headers) {
      boolean allowNonAscii = UTF8_HEADERS.stream().anyMatch(each.getKey()::equalsIgnoreCase);
      if (!isVisible(each.getValue(), ' ', allowNonAscii)) {
        return null;
      }
    }
    String className = headers.get("Request-Class", "");
    int requestClass = config.classes().indexOf(className);
    long timeout = StrictHttpDecoders.digits(headers.get(BackendConnections.REQUEST_TIMEOUT), 0);
    long workHint = StrictHttpDecoders.digits(headers.get("Work-Hint", "0"), -1);
    String id = headers.get("Request-Id", "");
    int tenant = config.tenants().indexOf(decodeUtf8(headers.get("Tenant", "")));
    if (requestClass < 0
        || !className.equals(request.uri().split("[/?]", 3)[1])
        || timeout < 1
        || timeout > MAX_TIMEOUT_MS
        || workHint < 0
        || !isToken(id)
        || headers.get("Host", "").isEmpty()
        || (tenant < 0 && !config.tenants().isEmpty())) {
      return null;
    }
    LoadBalancer.Semantics semantics = config.settings().classes().get(requestClass).semantics();
    HttpMethod method = semantics == LoadBalancer.Semantics.SAFE ? HttpMethod.GET : HttpMethod.POST;
    String idempotencyKey = headers.get("Idempotency-Key");
    // Without its idempotency key a request could take effect twice, because no backend would
    // recognize a retry.
    boolean keyed = semantics == LoadBalancer.Semantics.KEYED;
    if (!request.method().equals(method)
        || (keyed ? idempotencyKey == null || !isToken(idempotencyKey) : idempotencyKey != null)) {
      return null;
    }
    HttpHeaders forwarded = new DefaultHttpHeaders().set(headers);
    for (String option : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
      for (String name : option.split(",", 0)) {
        if (SINGLE_VALUED.stream().noneMatch(name.trim()::equalsIgnoreCase)) {
          forwarded.remove(name.trim());
        }
      }
    }
    NOT_FORWARDED.forEach(forwarded::remove);
    String key = headers.get("Affinity-Key", "");
    return new IncomingRequest(
        config,
        id,
        requestClass,
        Math.max(0, tenant),
        key.isEmpty() ? 0 : Discovery.stableId(key),
        workHint,
        timeout,
        "1".equals(headers.get("Client-Retry")),
        new OutgoingRequest(
            request.method(), request.uri(), forwarded, BackendConnections.NO_BODY));
  }

  /** Decodes a header value as UTF-8; the HTTP library decodes each byte to one character. */
  private static String decodeUtf8(String value) {
    return new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
  }

  /**
   * Returns whether a text consists of tabs and of visible ASCII characters from {@code min} on,
   * and of characters beyond ASCII if {@code allowNonAscii} is true.
   */
  private static boolean isVisible(String text, char min, boolean allowNonAscii) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      boolean visible = (c >= min && c <= '~') || (allowNonAscii && c >= ASCII_LIMIT);
      if (!visible && c != '\t') {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a text is a valid id: 1 to 128 ASCII letters, digits, hyphens, underscores,
   * periods or colons.
   */
  private static boolean isToken(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_TOKEN_LENGTH
        && text.chars()
            .allMatch(
                c ->
                    c < ASCII_LIMIT
                        && (Character.isLetterOrDigit(c)
                            || c == '-'
                            || c == '_'
                            || c == '.'
                            || c == ':'));
  }
}
