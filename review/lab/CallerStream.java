import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A stream as its caller sees it, over all its tries. */
final class CallerStream {
    private static final AtomicInteger calls = new AtomicInteger();

    String firstCall;
    final List<String> versions = new ArrayList<>();
    boolean complete;
    final List<String> tries = new ArrayList<>();
    Http.Response lastResponse;
    private final int deadlineMillis;

    CallerStream(int deadlineMillis) {
        this.deadlineMillis = deadlineMillis;
    }

    /** Begins the stream at [router], or takes it up there behind its last event. */
    int attempt(Lab.Router router) {
        return attempt(router, 0);
    }

    /** The same. The caller closes the channel after [cutMillis], unless that is 0. */
    int attempt(Lab.Router router, long cutMillis) {
        String id = String.format("%016x", 0x5000 + calls.incrementAndGet());
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "h.example");
        headers.put("Attempt-Id", id);
        headers.put("Model", "m");
        headers.put("Token-Counts", "300,40");
        headers.put("Prompt-Prefix", "aa" + id.substring(14) + ":200,bb" + id.substring(8) + ":100");
        headers.put("Deadline-Ms", String.valueOf(deadlineMillis));
        headers.put("X-Api-Key", "key-1");
        if (!versions.isEmpty()) {
            headers.put("Last-Event-Id", String.valueOf(versions.size()));
            headers.put("Resumes", firstCall);
        }
        Http.Response response = Http.call("127.0.0.1", router.port, "POST", "/tag/x", headers,
            "prompt".getBytes(StandardCharsets.UTF_8), 5000, cutMillis);
        lastResponse = response;
        int before = versions.size();
        if (response.status == 200) {
            String[] events = (response.text() + " ").split("\n\n");
            for (int n = 0; n < events.length - 1; n++) {
                versions.add(events[n].substring(events[n].indexOf("data: ") + 6));
            }
        }
        complete = response.status == 200 && response.complete;
        if (before == 0 && !versions.isEmpty()) firstCall = id;
        tries.add(router.name + ":" + response.status);
        Lab.record("caller: try " + id + " at " + router.name + " status=" + response.status + " events "
            + (before + 1) + ".." + versions.size() + " complete=" + complete);
        return response.status;
    }
}
