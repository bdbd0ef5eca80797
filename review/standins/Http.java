import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One HTTP/1.1 call a connection, as clients, minions and the operator make them. */
final class Http {
    /** Status and body of a response. */
    record Response(int status, String body) {}

    private Http() {}

    /** Returns the response, or null if none came within {@code timeoutMillis}. */
    static Response call(String address, String method, String path, String host, String key, String body, int timeoutMillis) {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(socketAddress(address), timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request(address, method, path, host, key, body));
            socket.getOutputStream().flush();
            socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000L));
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException | RuntimeException e) {
            return null;
        }
    }

    static byte[] request(String address, String method, String path, String host, String key, String body) {
        byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        String head =
            method + " " + path + " HTTP/1.1\r\nHost: " + (host == null ? address : host) + "\r\nConnection: close\r\n"
                + (key == null ? "" : "Authorization: Bearer " + key + "\r\n")
                + (content.length > 0 ? "Content-Type: application/json\r\n" : "")
                + "Content-Length: " + content.length + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        out.writeBytes(content);
        return out.toByteArray();
    }

    static InetSocketAddress socketAddress(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1)));
    }

    private static Response read(InputStream in) throws IOException {
        String status = line(in);
        if (status.isEmpty()) throw new IOException("no response");
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) length = Integer.parseInt(header.substring(15).trim());
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("cut off");
        return new Response(Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) if (c != '\r') out.append((char) c);
        return out.toString();
    }
}
