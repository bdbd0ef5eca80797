import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A small HTTP/1.1 client: one call a connection, any Host header. */
final class Http {
    record Response(int status, String body) {}

    private Http() {}

    /** The response, or null if there is none within the time. */
    static Response call(String address, String method, String path, String host, String key, String body, int timeoutMillis) {
        String ip = address.substring(0, address.lastIndexOf(':'));
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder();
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\nConnection: close\r\n");
        if (key != null) head.append("Authorization: Bearer ").append(key).append("\r\n");
        if (bytes.length > 0) head.append("Content-Type: application/json\r\n");
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(ip, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    private static Response read(InputStream in) throws IOException {
        String status = line(in);
        if (status == null || status.length() < 12) return null;
        int length = -1;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(header.substring(15).trim());
        }
        byte[] body = length >= 0 ? in.readNBytes(length) : in.readAllBytes();
        if (length >= 0 && body.length < length) return null;
        return new Response(Integer.parseInt(status.substring(9, 12)), new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') return text.toString();
            if (b != '\r') text.append((char) b);
        }
        return null;
    }
}
