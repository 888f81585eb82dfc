"""Choose backend servers, queue calls for them and send them."""
