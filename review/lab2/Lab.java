import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the scripts of this review share: a record, the platform's store, servers, callers, and routers as processes.
 *
 * The stand-ins run in the process of the script and follow PROTOCOL.md. All addresses are loopback addresses.
 */
public final class Lab implements AutoCloseable {
    public static final String HOST = "127.0.0.1";
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startNanos = System.nanoTime();
    private final PrintWriter record;
    private final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();
    public final Path tmp;

    public Lab(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        tmp = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        log("trouble=" + trouble);
    }

    public long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void log(String line) {
        record.printf("%8d ms  %s%n", now(), line);
    }

    /** Ends the script: 1 if the rule was broken, 0 if it held. */
    public void end(boolean broken, String summary) {
        log((broken ? "BROKEN: " : "held: ") + summary);
        System.out.println((broken ? "BROKEN: " : "held: ") + summary);
        close();
        System.exit(broken ? 1 : 0);
    }

    /** Ends the script because the case could not run. */
    public void cannotRun(String reason) {
        log("could not run: " + reason);
        System.out.println("could not run: " + reason);
        close();
        System.exit(2);
    }

    @Override
    public synchronized void close() {
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception e) {
                // The part has ended already.
            }
        }
        parts.clear();
        File[] files = tmp.toFile().listFiles();
        if (files != null) for (File f : files) f.delete();
        tmp.toFile().delete();
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a port that is free for TCP and UDP, below those that systems use for outgoing connections. */
    public static int freePort() throws IOException {
        InetAddress host = InetAddress.getByName(HOST);
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, host); DatagramSocket udp = new DatagramSocket(port, host)) {
                return port;
            } catch (BindException e) {
                // The port is in use.
            }
        }
        throw new IOException("no free port");
    }

    public static Thread daemon(Runnable body) {
        Thread t = new Thread(body);
        t.setDaemon(true);
        t.start();
        return t;
    }

    // ---------------------------------------------------------------- HTTP

    public static final class Request {
        public String method;
        public String target;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];

        public String header(String name) {
            return headers.get(name);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) != '\n') {
            if (c < 0) return null;
            if (c != '\r') line.write(c);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new IOException("closed within headers");
    }

    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) throw new IOException("closed within chunks");
                int size = Integer.parseInt(line.trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size || readLine(in) == null) throw new IOException("closed within a chunk");
                if (size == 0) return out.toByteArray();
                out.write(chunk);
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new IOException("closed within the body");
        return body;
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Request r = new Request();
        String[] words = line.split(" ");
        r.method = words[0];
        r.target = words[1];
        readHeaders(in, r.headers);
        r.body = readBody(in, r.headers);
        return r;
    }

    public interface Handler {
        /** Answers one request. Returns false to close the connection. */
        boolean handle(Request request, OutputStream out, Socket socket) throws Exception;
    }

    public static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** A listener that serves one request at a time on a connection. */
    public final class Listener implements AutoCloseable {
        private volatile ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        public final int port;

        public Listener(Handler handler) throws IOException {
            this(0, handler);
        }

        public Listener(int port, Handler handler) throws IOException {
            this.handler = handler;
            this.port = listen(port);
            parts.add(this);
        }

        private int listen(int port) throws IOException {
            ServerSocket s = new ServerSocket();
            s.setReuseAddress(true);
            s.bind(new InetSocketAddress(HOST, port), 512);
            socket = s;
            daemon(() -> accept(s));
            return s.getLocalPort();
        }

        private void accept(ServerSocket s) {
            while (!s.isClosed()) {
                try {
                    Socket c = s.accept();
                    c.setTcpNoDelay(true);
                    open.add(c);
                    daemon(() -> serve(c));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket c) {
            try (c) {
                InputStream in = new BufferedInputStream(c.getInputStream());
                Request r;
                while ((r = readRequest(in)) != null) {
                    if (!handler.handle(r, c.getOutputStream(), c)) return;
                }
            } catch (Exception e) {
                // The peer or the script has closed the connection.
            } finally {
                open.remove(c);
            }
        }

        /** Crashes: resets all connections and refuses new ones. */
        public void stop() throws IOException {
            socket.close();
            for (Socket c : open) {
                try {
                    c.setSoLinger(true, 0);
                    c.close();
                } catch (IOException e) {
                    // It was closed meanwhile.
                }
            }
            open.clear();
        }

        public void startAgain() throws IOException {
            listen(port);
        }

        @Override
        public void close() throws IOException {
            stop();
        }
    }

    // ---------------------------------------------------------------- JSON

    public static final class Json {
        private final String text;
        private int at;

        private Json(String text) {
            this.text = text;
        }

        @SuppressWarnings("unchecked")
        public static Map<String, Object> object(byte[] bytes) {
            return (Map<String, Object>) new Json(new String(bytes, StandardCharsets.UTF_8)).value();
        }

        private char next() {
            while (Character.isWhitespace(text.charAt(at))) at++;
            return text.charAt(at);
        }

        private Object value() {
            char c = next();
            if (c == '{') {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                while (next() != '}') {
                    if (text.charAt(at) == ',') {
                        at++;
                        continue;
                    }
                    String key = string();
                    next();
                    at++;
                    map.put(key, value());
                }
                at++;
                return map;
            }
            if (c == '[') {
                List<Object> list = new ArrayList<>();
                at++;
                while (next() != ']') {
                    if (text.charAt(at) == ',') at++;
                    else list.add(value());
                }
                at++;
                return list;
            }
            if (c == '"') return string();
            int from = at;
            while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) at++;
            String word = text.substring(from, at);
            if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
            return word.equals("null") ? null : Double.valueOf(word);
        }

        private String string() {
            next();
            StringBuilder s = new StringBuilder();
            at++;
            while (text.charAt(at) != '"') {
                char c = text.charAt(at++);
                if (c == '\\') {
                    c = text.charAt(at++);
                    if (c == 'u') {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    } else if (c == 'n') {
                        c = '\n';
                    }
                }
                s.append(c);
            }
            at++;
            return s.toString();
        }
    }

    // ---------------------------------------------------------------- the platform's store

    /** The store of the platform. Each router has a door of its own, which may be shut. */
    public final class Store {
        private final class Item {
            String value;
            long revision;
            long createRev;
            long lease;
        }

        private record Event(String key, String value, long revision, long createRev, long lease) {}

        private record Lease(long ttl, AtomicLong endsAt) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Event> events = new ArrayList<>();
        private final Map<Long, Lease> leases = new HashMap<>();
        private long revision = 100;
        private long nextLease = 7000;
        private final Set<Socket> watching = ConcurrentHashMap.newKeySet();
        private long cutCount;

        public final class Door {
            public final Listener listener;
            /** While set, the store turns this machine away with 503. */
            public volatile boolean busy;

            Door() throws IOException {
                listener = new Listener((r, out, c) -> {
                    if (busy) {
                        respond(out, 503, Map.of(), new byte[0]);
                        return true;
                    }
                    return answer(this, r, out, c);
                });
            }
        }

        public Store() {
            daemon(() -> {
                while (true) {
                    expire();
                    sleep(50);
                }
            });
        }

        public Door door() throws IOException {
            return new Door();
        }

        private synchronized void expire() {
            long t = now();
            for (long id : new ArrayList<>(leases.keySet())) {
                if (leases.get(id).endsAt.get() < t) endLease(id);
            }
        }

        private void endLease(long id) {
            leases.remove(id);
            List<String> gone = new ArrayList<>();
            items.forEach((k, i) -> {
                if (i.lease == id) gone.add(k);
            });
            if (!gone.isEmpty()) {
                revision++;
                gone.forEach(this::removeItem);
                notifyAll();
            }
        }

        private void removeItem(String key) {
            if (items.remove(key) != null) events.add(new Event(key, null, revision, 0, 0));
        }

        private void write(String key, String value, long lease) {
            Item i = items.computeIfAbsent(key, k -> new Item());
            i.value = value;
            i.revision = revision;
            if (i.createRev == 0) i.createRev = revision;
            i.lease = lease;
            events.add(new Event(key, value, revision, i.createRev, lease));
        }

        /** Writes as the operator or a server does. */
        public synchronized void put(String key, String value) {
            revision++;
            write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
            notifyAll();
        }

        public synchronized void delete(String key) {
            revision++;
            removeItem(key);
            notifyAll();
        }

        /** Cuts the watches that wait at this moment. Changes made in [change] are not reported to them. */
        public synchronized void cutWatches(Runnable change) {
            cutCount++;
            for (Socket c : watching) {
                try {
                    c.close();
                } catch (IOException e) {
                    // It was closed meanwhile.
                }
            }
            change.run();
            notifyAll();
        }

        public int waitingWatches() {
            return watching.size();
        }

        private boolean answer(Door door, Request r, OutputStream out, Socket c) throws Exception {
            int q = r.target.indexOf('?');
            String path = q < 0 ? r.target : r.target.substring(0, q);
            Map<String, String> query = new HashMap<>();
            if (q >= 0) {
                for (String p : r.target.substring(q + 1).split("&")) {
                    String[] kv = p.split("=", 2);
                    query.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
                }
            }
            String[] answer;
            if (path.endsWith("/kv-range")) answer = range(query);
            else if (path.endsWith("/kv-watch")) answer = watch(door, query, c);
            else if (path.endsWith("/kv-txn")) answer = txn(Json.object(r.body));
            else if (path.endsWith("/kv-lease")) answer = grant(Json.object(r.body));
            else if (path.contains("/kv-keep/")) answer = keep(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            else if (path.contains("/kv-lease-end/")) answer = drop(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
            else answer = new String[] {"404", "{}"};
            if (answer == null) return false;
            respond(out, Integer.parseInt(answer[0]), Map.of("Content-Type", "application/json", "Store-Era", "1"),
                answer[1].getBytes(StandardCharsets.UTF_8));
            return true;
        }

        private String itemJson(String key, String value, long rev, long createRev, long lease) {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + rev + ",\"createRev\":"
                + createRev + ",\"lease\":" + lease + "}";
        }

        private synchronized String[] range(Map<String, String> query) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            List<String> found = new ArrayList<>();
            boolean truncated = false;
            for (Map.Entry<String, Item> e : items.entrySet()) {
                if (!e.getKey().startsWith(prefix) || (!after.isEmpty() && e.getKey().compareTo(after) <= 0)) continue;
                if (found.size() == 500) {
                    truncated = true;
                    break;
                }
                Item i = e.getValue();
                found.add(itemJson(e.getKey(), i.value, i.revision, i.createRev, i.lease));
            }
            return new String[] {"200", "{\"items\":[" + String.join(",", found) + "],\"truncated\":" + truncated
                + ",\"storeRevision\":" + revision + "}"};
        }

        private synchronized String[] watch(Door door, Map<String, String> query, Socket c) throws Exception {
            String prefix = query.getOrDefault("prefix", "");
            long after = Long.parseLong(query.get("after"));
            long until = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
            long cutsBefore = cutCount;
            watching.add(c);
            try {
                while (true) {
                    if (cutCount != cutsBefore || c.isClosed()) return null;
                    if (door.busy) return new String[] {"503", "{}"};
                    List<String> found = new ArrayList<>();
                    for (Event e : events) {
                        if (e.revision <= after || !e.key.startsWith(prefix)) continue;
                        found.add(e.value == null
                            ? "{\"key\":\"" + e.key + "\",\"revision\":" + e.revision + ",\"deleted\":true}"
                            : itemJson(e.key, e.value, e.revision, e.createRev, e.lease));
                    }
                    long left = until - now();
                    if (!found.isEmpty() || left <= 0) {
                        return new String[] {"200", "{\"events\":[" + String.join(",", found)
                            + "],\"storeRevision\":" + revision + "}"};
                    }
                    wait(Math.min(left, 50));
                }
            } finally {
                watching.remove(c);
            }
        }

        @SuppressWarnings("unchecked")
        private synchronized String[] txn(Map<String, Object> body) {
            for (Object o : (List<Object>) body.getOrDefault("expect", List.of())) {
                Map<String, Object> row = (Map<String, Object>) o;
                Item i = items.get((String) row.get("key"));
                if ((i == null ? 0 : i.revision) != ((Double) row.get("revision")).longValue()) {
                    return new String[] {"412", "{\"items\":[]}"};
                }
            }
            List<Object> writes = (List<Object>) body.getOrDefault("writes", List.of());
            for (Object o : writes) {
                Double lease = (Double) ((Map<String, Object>) o).get("lease");
                if (lease != null && lease != 0 && !leases.containsKey(lease.longValue())) {
                    return new String[] {"404", "{}"};
                }
            }
            revision++;
            for (Object o : writes) {
                Map<String, Object> w = (Map<String, Object>) o;
                Double lease = (Double) w.get("lease");
                write((String) w.get("key"), (String) w.get("value"), lease == null ? 0 : lease.longValue());
            }
            for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) removeItem((String) key);
            notifyAll();
            return new String[] {"200", "{\"revision\":" + revision + "}"};
        }

        private synchronized String[] grant(Map<String, Object> body) {
            long ttl = ((Double) body.get("ttlMs")).longValue();
            leases.put(++nextLease, new Lease(ttl, new AtomicLong(now() + ttl)));
            return new String[] {"200", "{\"lease\":" + nextLease + ",\"ttlMs\":" + ttl + "}"};
        }

        private synchronized String[] keep(long id) {
            Lease l = leases.get(id);
            if (l == null) return new String[] {"404", "{}"};
            l.endsAt.set(now() + l.ttl);
            return new String[] {"200", "{\"ttlMs\":" + l.ttl + "}"};
        }

        private synchronized String[] drop(long id) {
            endLease(id);
            return new String[] {"200", "{}"};
        }
    }

    // ---------------------------------------------------------------- servers

    /** A server of a service, which registers itself and reports every 1.2 s. */
    public class Server {
        public final String id;
        public final String service;
        public volatile String version;
        public volatile String extra = "";
        public volatile long born = System.currentTimeMillis();
        public volatile boolean reporting = true;
        public final Listener listener;
        private final Store store;
        private final AtomicInteger sequence = new AtomicInteger();
        public final String zone;
        public final int slots;

        public Server(Store store, String id, String service, String version, String zone, int slots, Handler handler)
                throws IOException {
            this.store = store;
            this.id = id;
            this.service = service;
            this.version = version;
            this.zone = zone;
            this.slots = slots;
            listener = new Listener(handler);
            daemon(() -> {
                while (true) {
                    if (reporting) report();
                    sleep(1200);
                }
            });
        }

        public synchronized void report() {
            store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + HOST + ":" + listener.port
                + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":" + slots
                + ",\"state\":\"ready\",\"coldLeftMs\":0" + extra + ",\"sequence\":" + sequence.incrementAndGet()
                + ",\"born\":" + born + "}");
        }
    }

    // ---------------------------------------------------------------- routers

    /** A router process, started with the command of the deploy file. */
    public final class Router implements AutoCloseable {
        public final String name;
        public final int frontPort = freePort();
        public final int readyPort = freePort();
        public final int internalPort = freePort();
        private final Path settings;
        public final Path output;
        public Process process;

        public Router(String name, String zone, Store.Door door, Map<String, String> bounds) throws IOException {
            this.name = name;
            settings = tmp.resolve(name + ".json");
            output = tmp.resolve(name + ".log");
            StringBuilder b = new StringBuilder();
            bounds.forEach((k, v) -> b.append(b.length() == 0 ? "" : ",").append('"').append(k).append("\":").append(v));
            Files.writeString(settings, "{\"name\":\"" + name + "\",\"failureDomain\":\"" + zone + "\",\"host\":\"" + HOST
                + "\",\"callerListen\":\"" + HOST + ":" + frontPort + "\",\"readinessListen\":\"" + HOST + ":" + readyPort
                + "\",\"internalPorts\":[" + internalPort + "," + (internalPort + 15) + "],\"storeAddress\":\"" + HOST + ":"
                + door.listener.port + "\",\"bounds\":{" + b + "},\"agreements\":{\"base\":true,\"drain\":true,\"config\":true,"
                + "\"cost\":true,\"retry\":true,\"recover\":true,\"kvcache\":true,\"stream\":true,\"engine\":true,"
                + "\"tenants\":true,\"quota\":true,\"platform\":true},\"placement\":{\"learnSpeeds\":true}}");
            parts.add(this);
            start();
        }

        public void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            ProcessBuilder p = new ProcessBuilder(run.split(" "));
            p.environment().put("LACEWINGWEIR_CONFIG", settings.toString());
            p.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = p.start();
        }

        public boolean isReady() {
            try {
                return new Caller(readyPort).call("GET", "/lacewingweir/ready", Map.of(), new byte[0], 1000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        public void awaitReady(long millis) {
            long until = now() + millis;
            while (now() < until) {
                if (isReady()) return;
                sleep(100);
            }
            try {
                recordLog("");
            } catch (IOException e) {
                log("no log of " + name);
            }
            cannotRun(name + " isn't ready");
        }

        /** Copies the lines of the router's log that contain one of the words to the record. */
        public void recordLog(String... words) throws IOException {
            for (String line : Files.readAllLines(output)) {
                for (String w : words) {
                    if (line.contains(w)) {
                        log(name + ": " + line);
                        break;
                    }
                }
            }
        }

        @Override
        public void close() throws Exception {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    public static Map<String, String> bounds() {
        Map<String, String> b = new LinkedHashMap<>();
        b.put("keyWithdrawalMillis", "5000");
        b.put("weightsMillis", "8000");
        b.put("orderLeaseMillis", "3000");
        b.put("shutdownSeconds", "8");
        b.put("repeatRatio", "0.2");
        b.put("repeatExtra", "56");
        b.put("rateWindowSeconds", "8");
        b.put("repeatWindowSeconds", "10");
        return b;
    }

    // ---------------------------------------------------------------- callers

    public static final class Answer {
        public int status;
        public final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        public byte[] body = new byte[0];
        /** Whether the response came with its end. */
        public boolean complete;

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A caller with one connection. */
    public static final class Caller implements AutoCloseable {
        public final Socket socket;
        private final InputStream in;

        public Caller(int port) throws IOException {
            socket = new Socket();
            socket.connect(new InetSocketAddress(HOST, port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
        }

        /** Reads one response. A status of 0 means that the connection ended before its head. */
        public Answer read(int timeoutMillis) {
            Answer a = new Answer();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            try {
                socket.setSoTimeout(timeoutMillis);
                String line = readLine(in);
                if (line == null) return a;
                int status = Integer.parseInt(line.split(" ")[1]);
                readHeaders(in, a.headers);
                a.status = status;
                if ("chunked".equalsIgnoreCase(a.headers.get("Transfer-Encoding"))) {
                    while (true) {
                        line = readLine(in);
                        if (line == null) break;
                        int size = Integer.parseInt(line.trim(), 16);
                        byte[] chunk = in.readNBytes(size);
                        body.write(chunk);
                        if (chunk.length < size || readLine(in) == null) break;
                        if (size == 0) {
                            a.complete = true;
                            break;
                        }
                    }
                } else {
                    int length = Integer.parseInt(a.headers.getOrDefault("Content-Length", "0"));
                    byte[] bytes = in.readNBytes(length);
                    body.write(bytes);
                    a.complete = bytes.length == length;
                }
            } catch (IOException e) {
                // The response is incomplete.
            }
            a.body = body.toByteArray();
            return a;
        }

        public Answer call(String method, String target, Map<String, String> headers, byte[] body, int timeoutMillis)
                throws IOException {
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.putIfAbsent("Host", HOST);
            send(method, target, all, body);
            Answer a = read(timeoutMillis);
            close();
            return a;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static final AtomicLong ids = new AtomicLong(System.nanoTime());

    /** A new id of a request. */
    public static String newId() {
        return String.format("%016x", ids.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    public static <T> List<T> list() {
        return Collections.synchronizedList(new ArrayList<>());
    }
}
