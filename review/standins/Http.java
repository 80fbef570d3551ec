import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 over plain sockets: a client with one connection, and a server with a thread for each connection. */
final class Http {
    static final class Message {
        final String first;
        final byte[] body;
        final boolean closes;

        Message(String first, byte[] body, boolean closes) {
            this.first = first;
            this.body = body;
            this.closes = closes;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Returns the next message, or null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int b = in.read();
            if (b < 0) return null;
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        int length = 0;
        boolean closes = false;
        for (String line : lines) {
            String lower = line.toLowerCase();
            if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
            if (lower.startsWith("connection:") && lower.contains("close")) closes = true;
        }
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Message(lines[0], body, closes);
    }

    /** A connection that is opened at the first call and again after a failure. */
    static final class Client implements Closeable {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Sends a request. Returns the response, or null after a failure or if none arrives within the limit. */
        Message call(String method, String path, String body, int limitMs) {
            long endNs = System.nanoTime() + limitMs * 1_000_000L;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), limitMs);
                    in = new java.io.BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port
                    + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.getBytes(StandardCharsets.ISO_8859_1));
                all.write(bytes);
                socket.getOutputStream().write(all.toByteArray());
                Message answer = read(in);
                if (answer == null || answer.closes) close();
                return answer;
            } catch (IOException e) {
                close();
                return null;
            }
        }

        @Override
        public void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException ignored) {
                // It is not used again.
            }
            socket = null;
        }
    }

    /** Sends one request on a connection of its own. */
    static Message once(int port, String method, String path, String body, int limitMs) {
        try (Client client = new Client(port)) {
            return client.call(method, path, body, limitMs);
        }
    }

    static final class Answer {
        final int status;
        final byte[] body;

        Answer(int status, String body) {
            this.status = status;
            this.body = body.getBytes(StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Returns the answer, or null to close the connection without one. */
        Answer handle(String method, String target, String body) throws InterruptedException;
    }

    /** Serves on a free loopback port and returns it. */
    static int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> connection(socket, handler));
            }
        });
        return server.getLocalPort();
    }

    private static void connection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = read(in);
                if (request == null) return;
                String[] first = request.first.split(" ");
                Answer answer = handler.handle(first[0], first[1], request.text());
                if (answer == null) return;
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(("HTTP/1.1 " + answer.status + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                    + answer.body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                all.write(answer.body);
                out.write(all.toByteArray());
            }
        } catch (IOException ignored) {
            // The client has closed the connection.
        }
    }

    interface Work {
        void run() throws Exception;
    }

    static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                Site.record("stand-in thread ended: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
