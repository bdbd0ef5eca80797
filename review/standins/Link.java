import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link to one address that can be cut: bytes are held up while it is, and arrive afterwards, as TCP delivers them. */
final class Link {
    final String address;
    private final String to;
    private final ServerSocket listener;
    private volatile boolean cut;

    Link(String ip, String to) throws IOException {
        this.to = to;
        listener = new ServerSocket(0, 50, InetAddress.getByName(ip));
        address = ip + ":" + listener.getLocalPort();
        thread(this::accept);
    }

    void setCut(boolean cut) {
        this.cut = cut;
    }

    private void accept() throws IOException {
        while (true) {
            Socket from = listener.accept();
            thread(() -> {
                // The first bytes are read before the connection is made, so that nothing of a held call is lost with its caller.
                byte[] buffer = new byte[64 * 1024];
                int length = from.getInputStream().read(buffer);
                hold();
                Socket onward = new Socket();
                onward.connect(Http.socketAddress(to));
                if (length > 0) onward.getOutputStream().write(buffer, 0, length);
                thread(() -> copy(onward, from));
                copy(from, onward);
            });
        }
    }

    private void copy(Socket from, Socket onward) throws IOException {
        InputStream in = from.getInputStream();
        OutputStream out = onward.getOutputStream();
        byte[] buffer = new byte[64 * 1024];
        for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
            hold();
            out.write(buffer, 0, length);
        }
        hold();
        onward.shutdownOutput();
    }

    private void hold() {
        while (cut) Minion.sleep(5);
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // One end of the connection is gone.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
