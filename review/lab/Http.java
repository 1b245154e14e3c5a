import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small blocking HTTP/1.1 server and client on loopback. */
final class Http {
    static final class Request {
        String method;
        String target;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String parameter(String name) {
            int query = target.indexOf('?');
            if (query < 0) return "";
            for (String pair : target.substring(query + 1).split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0 && pair.substring(0, equals).equals(name)) {
                    return java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static final class Response {
        int status;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A connection of a server, on which answers are written. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        /** An answer that is sent once more before the next one. */
        volatile byte[] lateCopy;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            write(encode(status, headers, body));
        }

        void json(int status, Map<String, String> headers, String body) throws IOException {
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.put("Content-Type", "application/json");
            respond(status, all, body.getBytes(StandardCharsets.UTF_8));
        }
    }

    interface Handler {
        void handle(Request request, Connection connection) throws Exception;
    }

    static byte[] encode(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    static final class Server {
        final ServerSocket listener;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            Lab.daemon(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Lab.daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Connection connection = new Connection(socket);
                while (true) {
                    Request request = readRequest(connection.in);
                    if (request == null) return;
                    handler.handle(request, connection);
                }
            } catch (Exception e) {
                // The peer closed the connection, or the handler did.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Ends the server as a crash does: nothing listens any more and all connections are reset. */
        void crash() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') return bytes.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            bytes.write(c);
        }
        return null;
    }

    private static void headers(InputStream in, Map<String, String> into) throws IOException {
        String line;
        while ((line = line(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            into.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new IOException("closed within the head");
    }

    static Request readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        String[] words = first.split(" ");
        Request request = new Request();
        request.method = words[0];
        request.target = words[1];
        headers(in, request.headers);
        request.body = in.readNBytes(Integer.parseInt(request.headers.getOrDefault("Content-Length", "0")));
        return request;
    }

    /** Sends one request on a new connection. The status is 0 if no answer came. */
    static Response call(String host, int port, String method, String target, Map<String, String> headers, byte[] body,
            int timeoutMillis) {
        return call(host, port, method, target, headers, body, timeoutMillis, 0);
    }

    /** Closes the connection after [cutMillis], unless that is 0. */
    static Response call(String host, int port, String method, String target, Map<String, String> headers, byte[] body,
            int timeoutMillis, long cutMillis) {
        Response response = new Response();
        try (Socket socket = new Socket()) {
            if (cutMillis > 0) Lab.daemon(() -> cut(socket, cutMillis));
            socket.connect(new InetSocketAddress(host, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            socket.getOutputStream().write(bytes.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) return response;
            headers(in, response.headers);
            response.status = Integer.parseInt(first.split(" ")[1]);
            readBody(in, response);
        } catch (IOException e) {
            // The answer is incomplete.
        }
        return response;
    }

    private static void cut(Socket socket, long millis) {
        Lab.sleep(millis);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static void readBody(InputStream in, Response response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(response.headers.get("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) return;
                    int length = Integer.parseInt(size.trim(), 16);
                    byte[] chunk = in.readNBytes(length);
                    body.write(chunk);
                    if (chunk.length < length || line(in) == null) return;
                    if (length == 0) break;
                }
                response.complete = true;
            } else {
                int length = Integer.parseInt(response.headers.getOrDefault("Content-Length", "0"));
                byte[] bytes = in.readNBytes(length);
                body.write(bytes);
                response.complete = bytes.length == length;
            }
        } finally {
            response.body = body.toByteArray();
        }
    }
}
