package slateslip.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the HTTP responses of one connection. Each call consumes exactly the bytes of one response,
 * as its framing specifies.
 */
final class ResponseReader {
  private static final int HEX_RADIX = 16;

  private final InputStream input;
  private boolean responseStarted;

  ResponseReader(InputStream input) {
    this.input = new BufferedInputStream(input);
  }

  /** A complete response. */
  record Response(int status, Map<String, String> headers, String body) {
    boolean closesConnection() {
      return "close".equalsIgnoreCase(headers.get("Connection"));
    }
  }

  /** Returns whether at least one byte of the most recent response has been read. */
  boolean hasStarted() {
    return responseStarted;
  }

  /**
   * Reads one response.
   *
   * @throws IOException if the connection ends before the response does
   */
  Response read() throws IOException {
    responseStarted = false;
    String statusLine = readLine();
    int status = Integer.parseInt(statusLine.split(" ", -1)[1]);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    String coding = headers.getOrDefault("Transfer-Encoding", "").toLowerCase(Locale.ROOT);
    byte[] body = coding.equals("chunked") ? readChunks() : readExactly(length(headers));
    return new Response(status, headers, new String(body, StandardCharsets.UTF_8));
  }

  private static int length(Map<String, String> headers) {
    return Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
  }

  private byte[] readChunks() throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int length = Integer.parseInt(readLine(), HEX_RADIX);
      body.writeBytes(readExactly(length));
      readLine();
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private byte[] readExactly(int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the connection ended inside a response body");
    }
    return bytes;
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new IOException("the connection ended inside a line");
      }
      responseStarted = true;
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }
}
