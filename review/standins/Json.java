import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies of the users' protocol: objects, arrays, strings, numbers, true, false and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    static String quote(String s) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') return readObject();
        if (c == '[') return readArray();
        if (c == '"') return readString();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
    }

    private Map<String, Object> readObject() {
        Map<String, Object> out = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String key = readString();
            next();
            at++;
            out.put(key, value());
            if (next() == ',') at++;
        }
        at++;
        return out;
    }

    private List<Object> readArray() {
        List<Object> out = new ArrayList<>();
        at++;
        while (next() != ']') {
            out.add(value());
            if (next() == ',') at++;
        }
        at++;
        return out;
    }

    private String readString() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char e = text.charAt(at++);
                if (e == 'u') {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                } else {
                    out.append(e == 'n' ? '\n' : e == 't' ? '\t' : e == 'r' ? '\r' : e == 'b' ? '\b' : e == 'f' ? '\f' : e);
                }
            } else {
                out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private char next() {
        skip();
        return text.charAt(at);
    }

    private void skip() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }
}
