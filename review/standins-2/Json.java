import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects are maps, arrays are lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long number(Object value) {
        return ((Number) value).longValue();
    }

    /** Makes an object of names and values in turn. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> made = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) made.put((String) namesAndValues[i], namesAndValues[i + 1]);
        return made;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return members();
        if (c == '[') return elements();
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String token = text.substring(from, at);
        switch (token) {
            case "null": return null;
            case "true": return true;
            case "false": return false;
            default:
        }
        if (token.matches("-?[0-9]+")) return Long.parseLong(token);
        return Double.parseDouble(token);
    }

    private Map<String, Object> members() {
        Map<String, Object> made = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String name = string();
            space();
            expect(':');
            made.put(name, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return made;
    }

    private List<Object> elements() {
        List<Object> made = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            made.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return made;
    }

    private void expect(char c) {
        if (text.charAt(at) != c) throw new IllegalArgumentException("expected " + c + " at " + at);
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder made = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                made.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': made.append('\n'); break;
                case 't': made.append('\t'); break;
                case 'r': made.append('\r'); break;
                case 'b': made.append('\b'); break;
                case 'f': made.append('\f'); break;
                case 'u':
                    made.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: made.append(escaped);
            }
        }
        at++;
        return made.toString();
    }

    static String write(Object value) {
        StringBuilder made = new StringBuilder();
        write(value, made);
        return made.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String separator = "";
            for (Object element : (List<?>) value) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
