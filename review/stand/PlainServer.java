import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound server of a plain service: it reads each request whole and answers it with 200 after its work. */
final class PlainServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 400, InetAddress.getLoopbackAddress());
    private final Fleet fleet;
    private final String id;
    private final long workMillis;

    PlainServer(Fleet fleet, String id, long workMillis) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.workMillis = workMillis;
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            }
        });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the case has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream input = new BufferedInputStream(socket.getInputStream());
        byte[] buffer = new byte[65_536];
        while (true) {
            Http.Head head = Http.head(input);
            if (head == null) return;
            String request = head.header("Request-Id");
            String length = head.header("Content-Length");
            for (long left = length == null ? 0 : Long.parseLong(length); left > 0;) {
                int count = input.read(buffer, 0, (int) Math.min(buffer.length, left));
                if (count < 0) return;
                left -= count;
            }
            if (!request.startsWith("ordinary")) fleet.note("%s runs %s, body of %s bytes", id, request, length);
            Thread.sleep(workMillis);
            socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nRequest-Id: " + request + "\r\nServer-Stamp: stamp-" + request
                + "\r\nContent-Length: 4\r\n\r\ndone").getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
