package second;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's connection to a machine, which it keeps open for many requests. */
final class Caller implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream input;

    Caller(InetSocketAddress address) throws IOException {
        this(address, 0);
    }

    /** With a receive buffer of the given size, unless that is 0. */
    Caller(InetSocketAddress address, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(address, 1_000);
        socket.setSoTimeout(20_000);
        input = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
    }

    InputStream input() {
        return input;
    }

    void write(String method, String host, String path, String id, int deadline, Map<String, String> headers, String body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\n");
        head.append("Deadline-Ms: ").append(deadline).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (!body.isEmpty()) head.append("Content-Length: ").append(body.length()).append("\r\n");
        socket.getOutputStream().write((head + "\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the response; null if the connection ended without one. */
    Http.Response read() {
        try {
            return Http.readResponse(input);
        } catch (IOException ended) {
            return null;
        }
    }

    Http.Response send(String method, String host, String path, String id, int deadline, Map<String, String> headers, String body) {
        try {
            write(method, host, path, id, deadline, headers, body);
        } catch (IOException ended) {
            return null;
        }
        return read();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
