package org.laburnumarch.internal.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * Encodes and decodes JSON bodies. A field of the wrong type is always an error; only a missing or
 * null field takes a default value, where there is one.
 */
public final class Json {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
  private static final int MAX_PORT = 65_535;

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Encodes a JSON tree, or maps and lists of plain values. */
  public static byte[] encode(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Decodes a body, which must be a JSON object. */
  public static JsonNode parse(byte[] bytes) throws MalformedMessageException {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw new MalformedMessageException("the body is not a JSON object");
      }
      return node;
    } catch (IOException e) {
      throw new MalformedMessageException("the body is not valid JSON: " + e.getMessage());
    }
  }

  static String text(JsonNode node, String field) throws MalformedMessageException {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw new MalformedMessageException(field + " must be text");
    }
    return value.textValue();
  }

  static String textOr(JsonNode node, String field, String defaultValue)
      throws MalformedMessageException {
    return isAbsent(node, field) ? defaultValue : text(node, field);
  }

  static long number(JsonNode node, String field) throws MalformedMessageException {
    JsonNode value = node.get(field);
    if (value == null || !value.isNumber() || !value.canConvertToLong()) {
      throw new MalformedMessageException(field + " must be a number of at most 64 bits");
    }
    return value.longValue();
  }

  static long numberOr(JsonNode node, String field, long defaultValue)
      throws MalformedMessageException {
    return isAbsent(node, field) ? defaultValue : number(node, field);
  }

  static double decimalOr(JsonNode node, String field, double defaultValue)
      throws MalformedMessageException {
    if (isAbsent(node, field)) {
      return defaultValue;
    }
    JsonNode value = node.get(field);
    if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
      throw new MalformedMessageException(field + " must be a finite number");
    }
    return value.doubleValue();
  }

  static boolean flag(JsonNode node, String field) throws MalformedMessageException {
    if (isAbsent(node, field)) {
      return false;
    }
    JsonNode value = node.get(field);
    if (!value.isBoolean()) {
      throw new MalformedMessageException(field + " must be true or false");
    }
    return value.booleanValue();
  }

  static boolean isAbsent(JsonNode node, String field) {
    JsonNode value = node.get(field);
    return value == null || value.isNull();
  }

  /** Parses an address of the form {@code ip:port}. */
  static InetSocketAddress address(String text) throws MalformedMessageException {
    int colon = text.lastIndexOf(':');
    String ip = text.substring(0, Math.max(0, colon));
    String portText = text.substring(colon + 1);
    int port = PORT.matcher(portText).matches() ? Integer.parseInt(portText) : 0;
    // A host name would be looked up on the event loop.
    if (!NetUtil.isValidIpV4Address(ip) || port == 0 || port > MAX_PORT) {
      throw new MalformedMessageException("an address must have the form ip:port");
    }
    return new InetSocketAddress(ip, port);
  }
}
