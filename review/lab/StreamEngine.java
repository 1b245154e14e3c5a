import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A model server. Each event names the software version that wrote it. */
final class StreamEngine {
    final String id;
    final String version;
    final Http.Server http;
    private final int events;
    private final int eventMillis;

    StreamEngine(String id, String version, int events, int eventMillis) throws Exception {
        this.id = id;
        this.version = version;
        this.events = events;
        this.eventMillis = eventMillis;
        http = new Http.Server(this::handle);
    }

    void register(Store store, long born) {
        store.put("servers/" + id, "{\"service\":\"llm\",\"address\":\"" + http.address()
            + "\",\"zone\":\"z1\",\"version\":\"" + version + "\",\"slots\":48,\"state\":\"ready\","
            + "\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
            + "\"adapters\":[]}],\"sequence\":1,\"born\":" + born + "}");
    }

    private void handle(Http.Request request, Http.Connection connection) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        String call = request.headers.get("Attempt-Id");
        if (call != null) headers.put("Attempt-Id", call);
        if (request.path().equals("/lacewingweir/report")) {
            connection.json(200, headers, "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
                + "\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,"
                + "\"kvTotal\":200000,\"handles\":0}");
            return;
        }
        if (!id.equals(request.headers.get("Expect-Instance"))) {
            connection.respond(421, headers, new byte[0]);
            return;
        }
        int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
        Lab.record(id + " (" + version + ") runs " + call + " after event " + from + " resumes="
            + request.headers.get("Resumes"));
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.put("Server-Stamp", id + "." + call);
        headers.put("Weight-Versions", "1");
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        connection.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int n = from + 1; n <= events; n++) {
            Lab.sleep(eventMillis);
            byte[] event = ("id: " + n + "\ndata: " + version + "\n\n").getBytes(StandardCharsets.UTF_8);
            connection.write((Integer.toHexString(event.length) + "\r\n"
                + new String(event, StandardCharsets.UTF_8) + "\r\n").getBytes(StandardCharsets.UTF_8));
        }
        connection.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    }
}
