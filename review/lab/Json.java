import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON: objects are maps, arrays lists, numbers Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> rows(Object value) {
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    private char peek() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char c = peek();
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(start, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        if (word.contains(".") || word.contains("e") || word.contains("E")) return Double.valueOf(word);
        return Long.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        while (peek() != '}') {
            String key = string();
            peek();
            at++;
            result.put(key, value());
            if (peek() == ',') at++;
        }
        at++;
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        at++;
        while (peek() != ']') {
            result.add(value());
            if (peek() == ',') at++;
        }
        at++;
        return result;
    }

    private String string() {
        peek();
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    static String quote(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }
}
