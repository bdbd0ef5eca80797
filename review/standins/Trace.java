import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt and to standard output, with the time since the start. */
final class Trace {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Trace(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String text) {
        String line = String.format("%8.3f  %s", seconds(), text);
        out.println(line);
        System.out.println(line);
    }
}
