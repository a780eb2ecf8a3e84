package slateslip.dataplane;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Names of headers that the data plane reads, sets or removes, and the rule of what passes a hop.
 */
public final class HeaderNames {
  /** The client's id of one try; a backend returns it. */
  public static final AsciiString ATTEMPT_ID = AsciiString.cached("X-Attempt-Id");

  /** Milliseconds that the client, or what is left of them, will wait. */
  public static final AsciiString DEADLINE_MS = AsciiString.cached("X-Deadline-Ms");

  /** API key of the client; never passed on. */
  public static final AsciiString CREDENTIAL = AsciiString.cached("X-Credential");

  /** Tenant that holds the key; set by the data plane only. */
  public static final AsciiString TENANT = AsciiString.cached("X-Tenant");

  /** Instance that is to run the request; set by the data plane only. */
  public static final AsciiString TARGET_INSTANCE = AsciiString.cached("X-Target-Instance");

  /** Urgency, 0 highest; set by the data plane only. */
  public static final AsciiString PRIORITY = AsciiString.cached("Priority");

  /** Event after which a stream is to go on. */
  public static final AsciiString LAST_EVENT_ID = AsciiString.cached("Last-Event-Id");

  /** Model that is asked. */
  public static final AsciiString MODEL = AsciiString.cached("X-Model");

  /** Tokens of the prompt, and the most to be sent out. */
  public static final AsciiString TOKEN_USAGE = AsciiString.cached("X-Token-Usage");

  /** Parts of the prompt in order. */
  public static final AsciiString PROMPT_PREFIX = AsciiString.cached("X-Prompt-Prefix");

  /** Mark of a response that a backend made. */
  public static final AsciiString RESPONSE_STAMP = AsciiString.cached("X-Response-Stamp");

  /** Says that a backend did not run the request. */
  public static final AsciiString NOT_EXECUTED = AsciiString.cached("X-Not-Executed");

  /** Incarnation id of the backend that answers. */
  public static final AsciiString INSTANCE_ID = AsciiString.cached("X-Instance-Id");

  /** Requests running, waiting, and slots of a backend. */
  public static final AsciiString BACKEND_LOAD = AsciiString.cached("X-Backend-Load");

  /** How long an idle connection is kept. */
  public static final AsciiString KEEP_ALIVE = AsciiString.cached("Keep-Alive");

  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          KEEP_ALIVE,
          AsciiString.cached("Proxy-Connection"),
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.CONTENT_LENGTH);

  /** Set by the data plane only; what a client sent under these names is dropped. */
  private static final List<CharSequence> OWN =
      List.of(CREDENTIAL, TENANT, TARGET_INSTANCE, PRIORITY, DEADLINE_MS);

  /** End-to-end headers that no {@code Connection} option may take away. */
  private static final List<CharSequence> RETAINED =
      List.of(
          HttpHeaderNames.HOST,
          ATTEMPT_ID,
          LAST_EVENT_ID,
          MODEL,
          TOKEN_USAGE,
          PROMPT_PREFIX,
          RESPONSE_STAMP,
          HttpHeaderNames.CONTENT_TYPE,
          HttpHeaderNames.CONTENT_ENCODING);

  private HeaderNames() {}

  /** Removes what concerns one connection only, also by what {@code Connection} names. */
  public static void removeHopByHop(HttpHeaders headers) {
    for (String options : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String option : options.split(",", -1)) {
        removeOption(headers, option.trim());
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
  }

  private static void removeOption(HttpHeaders headers, String option) {
    boolean retained =
        RETAINED.stream().anyMatch(name -> AsciiString.contentEqualsIgnoreCase(name, option));
    if (!retained && !option.isEmpty()) {
      headers.remove(option);
    }
  }

  /** Removes what only the data plane may say to a backend. */
  public static void removeOwn(HttpHeaders headers) {
    OWN.forEach(headers::remove);
  }
}
