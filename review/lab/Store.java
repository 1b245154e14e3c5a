import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: ranges, watches, transactions and leases that expire. Loses nothing. */
final class Store {
    private static final class Item {
        final String key;
        final String value;
        final long revision;
        final long created;
        final long lease;

        Item(String key, String value, long revision, long created, long lease) {
            this.key = key;
            this.value = value;
            this.revision = revision;
            this.created = created;
            this.lease = lease;
        }

        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                + ",\"createRev\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private static final class Lease {
        long ttl;
        long end;
    }

    private static final class Change {
        final long revision;
        final String key;
        final String json;

        Change(long revision, String key, String json) {
            this.revision = revision;
            this.key = key;
            this.json = json;
        }
    }

    private static final Map<String, String> NO_HEADERS = Map.of();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 7000;
    final Http.Server server;

    Store() throws Exception {
        server = new Http.Server(this::handle);
        Lab.daemon(this::expire);
    }

    private void expire() {
        while (true) {
            Lab.sleep(20);
            synchronized (this) {
                long now = Lab.millis();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.end < now) ended.add(id);
                });
                ended.forEach(this::endLease);
            }
        }
    }

    /** Writes as the operator or a server does. */
    synchronized long put(String key, byte[] value) {
        Object[] write = {key, Base64.getEncoder().encodeToString(value), 0L};
        return commit(List.<Object[]>of(write), List.of());
    }

    long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void remove(String key) {
        commit(List.of(), List.of(key));
    }

    synchronized int count(String prefix) {
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    private long commit(List<Object[]> writes, List<String> removals) {
        revision++;
        for (Object[] write : writes) {
            String key = (String) write[0];
            Item known = items.get(key);
            Item item =
                new Item(key, (String) write[1], revision, known == null ? revision : known.created, (Long) write[2]);
            items.put(key, item);
            changes.add(new Change(revision, key, item.json()));
        }
        for (String key : removals) {
            if (items.remove(key) == null) continue;
            changes.add(new Change(revision, key,
                "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"deleted\":true}"));
        }
        notifyAll();
        return revision;
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        for (Item item : items.values()) if (item.lease == id) keys.add(item.key);
        if (!keys.isEmpty()) commit(List.of(), keys);
    }

    private void handle(Http.Request request, Http.Connection connection) throws Exception {
        String path = request.path();
        if (path.equals("/lacewingweir/kv-range")) {
            connection.json(200, NO_HEADERS, range(request.parameter("prefix")));
        } else if (path.equals("/lacewingweir/kv-watch")) {
            connection.json(200, NO_HEADERS, watch(request));
        } else if (path.equals("/lacewingweir/kv-txn")) {
            transact(request, connection);
        } else if (path.equals("/lacewingweir/kv-lease")) {
            long ttl = (Long) Json.object(request.text()).get("ttlMs");
            long id;
            synchronized (this) {
                id = ++lastLease;
                Lease lease = new Lease();
                lease.ttl = ttl;
                lease.end = Lab.millis() + ttl;
                leases.put(id, lease);
            }
            connection.json(200, NO_HEADERS, "{\"lease\":" + id + ",\"ttlMs\":" + ttl + "}");
        } else if (path.startsWith("/lacewingweir/kv-keep/")) {
            long id = Long.parseLong(path.substring("/lacewingweir/kv-keep/".length()));
            boolean held;
            synchronized (this) {
                Lease lease = leases.get(id);
                held = lease != null;
                if (held) lease.end = Lab.millis() + lease.ttl;
            }
            connection.json(held ? 200 : 404, NO_HEADERS, "{}");
        } else if (path.startsWith("/lacewingweir/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring("/lacewingweir/kv-lease-end/".length())));
            }
            connection.json(200, NO_HEADERS, "{}");
        } else {
            connection.json(404, NO_HEADERS, "{}");
        }
    }

    private synchronized String range(String prefix) {
        StringBuilder rows = new StringBuilder();
        for (Item item : items.values()) {
            if (!item.key.startsWith(prefix)) continue;
            if (rows.length() > 0) rows.append(',');
            rows.append(item.json());
        }
        return "{\"items\":[" + rows + "],\"truncated\":false,\"storeRevision\":" + revision + "}";
    }

    private synchronized String watch(Http.Request request) throws InterruptedException {
        long after = Long.parseLong(request.parameter("after"));
        String prefix = request.parameter("prefix");
        long end = Lab.millis() + Math.min(30_000, Long.parseLong(request.parameter("waitMs")));
        while (true) {
            StringBuilder rows = new StringBuilder();
            for (Change change : changes) {
                if (change.revision <= after || !change.key.startsWith(prefix)) continue;
                if (rows.length() > 0) rows.append(',');
                rows.append(change.json);
            }
            long left = end - Lab.millis();
            if (rows.length() > 0 || left <= 0) {
                return "{\"events\":[" + rows + "],\"storeRevision\":" + revision + "}";
            }
            wait(left);
        }
    }

    private void transact(Http.Request request, Http.Connection connection) throws Exception {
        Map<String, Object> body = Json.object(request.text());
        int status;
        String answer;
        synchronized (this) {
            boolean holds = true;
            StringBuilder current = new StringBuilder();
            for (Map<String, Object> row : Json.rows(body.get("expect"))) {
                Item item = items.get((String) row.get("key"));
                holds &= (item == null ? 0 : item.revision) == (Long) row.get("revision");
                if (item != null) current.append(current.length() > 0 ? "," : "").append(item.json());
            }
            List<Object[]> writes = new ArrayList<>();
            boolean leased = true;
            for (Map<String, Object> row : Json.rows(body.get("writes"))) {
                long lease = row.get("lease") == null ? 0 : (Long) row.get("lease");
                leased &= lease == 0 || leases.containsKey(lease);
                writes.add(new Object[] {row.get("key"), row.get("value"), lease});
            }
            List<String> removals = new ArrayList<>();
            if (body.get("remove") != null) for (Object key : (List<?>) body.get("remove")) removals.add((String) key);
            if (!holds) {
                status = 412;
                answer = "{\"items\":[" + current + "]}";
            } else if (!leased) {
                status = 404;
                answer = "{}";
            } else {
                status = 200;
                answer = "{\"revision\":" + commit(writes, removals) + "}";
            }
        }
        connection.json(status, NO_HEADERS, answer);
    }
}
