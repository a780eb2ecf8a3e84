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
 * Reads a client's request as the protocol has it. Stateless; what is no request gives null or the
 * status that says why.
 */
final class RequestParser {
  /** What goes from hop to hop only, or is set anew. */
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

  /** What a request says once at the most; of two, a server might believe the other. */
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

  /** Names from the settings or the application; any letters, in UTF-8. */
  private static final List<String> NAMES = List.of("Tenant", "Affinity-Key");

  private static final long MAX_TIMEOUT_MS = 3_600_000;
  private static final int MAX_TOKEN_LENGTH = 128;
  private static final int ASCII_END = 128;

  private RequestParser() {}

  /** Whether it asks for the health of the agent itself. */
  static boolean isHealthCheck(HttpRequest head) {
    return head.uri().equals("/healthz")
        && head.method().equals(HttpMethod.GET)
        && !head.headers().contains("Request-Id");
  }

  /** Why the bytes that follow cannot be told apart or will not be read, or null. */
  static HttpResponseStatus framingError(HttpRequest head, long length) {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
    }
    if (length == StrictHttpDecoders.UNCLEAR) {
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
   * The request as the agent takes it, or null if it is not as the protocol has it. Guards against
   * passing on what a server would reject, or would close a connection for on which more is
   * waiting.
   */
  static IncomingRequest parse(AgentConfig config, HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (!isVisible(request.uri(), '!', false)
        || !request.uri().startsWith("/")
        || SINGLE_VALUED.stream().anyMatch(name -> headers.getAll(name).size() > 1)) {
      return null;
    }
    for (Map.Entry<String, String> each : headers) {
      boolean anyLetters = NAMES.stream().anyMatch(each.getKey()::equalsIgnoreCase);
      if (!isVisible(each.getValue(), ' ', anyLetters)) {
        return null;
      }
    }
    String className = headers.get("Request-Class", "");
    int requestClass = config.classes().indexOf(className);
    long timeout = StrictHttpDecoders.digits(headers.get(BackendConnections.REQUEST_TIMEOUT), 0);
    long workHint = StrictHttpDecoders.digits(headers.get("Work-Hint", "0"), -1);
    String id = headers.get("Request-Id", "");
    int tenant = config.tenants().indexOf(utf8(headers.get("Tenant", "")));
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
    // Guards against an effect twice: without its key no server would drop a repeat.
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
        key.isEmpty() ? 0 : Discovery.id(key),
        workHint,
        timeout,
        "1".equals(headers.get("Client-Retry")),
        new OutgoingRequest(
            request.method(), request.uri(), forwarded, BackendConnections.NO_BODY));
  }

  /** The text of a value that was read one character a byte. */
  private static String utf8(String value) {
    return new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
  }

  /** Whether a text is of visible characters from this one on, or of letters beyond ASCII. */
  private static boolean isVisible(String text, char min, boolean anyLetters) {
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      boolean visible = (c >= min && c <= '~') || (anyLetters && c >= ASCII_END);
      if (!visible && c != '\t') {
        return false;
      }
    }
    return true;
  }

  /** Whether it has the form of an id: letters, digits and a few marks, and not too many. */
  private static boolean isToken(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_TOKEN_LENGTH
        && text.chars()
            .allMatch(
                c ->
                    c < ASCII_END
                        && (Character.isLetterOrDigit(c)
                            || c == '-'
                            || c == '_'
                            || c == '.'
                            || c == ':'));
  }
}
